#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "app/internal/accounts/iaccounts.h"
#include "app/internal/logs/observers.h"
#include "coordination/accounts/iaccountlimits.h"
#include "state/confirmationtime.h"
#include "state/irandom.h"
#include "state/member.h"
#include "transport/ieventloop.h"
#include "transport/oneshot.h"

namespace ivyspar {

struct AccountServiceOptions
{
    AccountLimitOptions limits;
    /// A key that is missing in the configuration is rejected as unknown only if the configuration
    /// was confirmed as the newest one within this time.
    Duration maxConfirmationAge = std::chrono::seconds(2);
    /// Retry delay for callers whose key may be in a newer configuration.
    Duration uncertainKeyRetryAfter = std::chrono::milliseconds(300);
};

/// Identifies the client accounts of the current configuration and enforces their limits together
/// with the other daemons. Traffic thread only.
class AccountService : public IAccounts
{
public:
    /// Sends a control payload to another daemon. Delivery is not guaranteed.
    using Send = std::function<void(DaemonId, std::string)>;

    /// All references outlive the service.
    AccountService(IEventLoop &loop, IRandom &random, const ConfirmationTime &confirmation,
                   Observers observers, Send send, const AccountServiceOptions &options);

    void setConfiguration(ConfigurationPtr configuration);
    /// Number of daemons in the platform's directory.
    void setDirectorySize(std::size_t daemons) { m_limits->setDirectorySize(daemons); }
    void setMembers(const DaemonId &self, const std::vector<Member> &members);
    /// Handles a payload of the account exchange; ignores payloads that cannot be decoded.
    void receive(const DaemonId &from, const std::string &payload);
    /// Sorted by rate of refused requests, highest first.
    std::vector<AccountStatus> statuses() const;

    bool needsKey(const RuleSpec &rule) const override;
    tl::expected<const AccountSpec *, Verdict>
    identify(const RuleSpec &rule, const std::optional<AccountKey> &key) const override;
    std::optional<AccountClaim> claimOf(const AccountName &account) const override;
    std::optional<Verdict> take(const AccountName &account) override;
    void refund(const AccountName &account) override;

private:
    using Waiters = std::list<OneShot<bool> *>;

    Verdict refuseKey() const;
    void waitForTokens(const AccountName &account, TimePoint until);
    void sendAll();

    IEventLoop &m_loop;
    const ConfirmationTime &m_confirmation;
    Observers m_observers;
    Send m_send;
    AccountServiceOptions m_options;
    std::unique_ptr<IAccountLimits> m_limits;
    ConfigurationPtr m_configuration;
    std::unordered_set<AccountName> m_limited;
    std::unordered_map<AccountName, Waiters> m_waiters;
};

} // namespace ivyspar
