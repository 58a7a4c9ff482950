#pragma once

#include <unordered_map>

#include "coordination/accounts/iaccountlimits.h"

namespace ivyspar {

/// Each daemon enforces an equal share of each limit locally, with a burst of at least one request.
/// Sends no messages; the shares of idle daemons are unused.
class EqualAccountLimits : public IAccountLimits
{
public:
    explicit EqualAccountLimits(const AccountLimitOptions &options);

    void setMembers(TimePoint now, const DaemonId &self,
                    const std::vector<AccountMember> &members) override;
    void setDirectorySize(std::size_t daemons) override;
    void setLimits(TimePoint now, AccountLimits limits) override;
    AccountDecision take(TimePoint now, const AccountName &account, TimePoint since) override;
    void refund(TimePoint now, const AccountName &account) override;
    double localRate(TimePoint now, const AccountName &account) const override;
    void receive(TimePoint now, const DaemonId &from, const AccountMessage &message,
                 std::vector<AccountName> &granted) override;
    OutgoingAccountMessages takeOutgoing() override { return {}; }
    std::vector<AccountStatus> statuses(TimePoint now) const override;

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt;
    };

    AccountLimitOptions m_options;
    AccountLimits m_limits;
    double m_meanRate = 1;
    std::unordered_map<AccountName, Bucket> m_buckets;
    double m_daemons = 0;
};

} // namespace ivyspar
