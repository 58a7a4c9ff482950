#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
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
    /// A configuration that was the newest one no longer ago than this decides which keys exist.
    Duration certainty = std::chrono::seconds(2);
    /// When callers whose key may be on its way are to come back.
    Duration uncertainReturn = std::chrono::milliseconds(300);
};

/// Knows the client accounts of the configuration in force, and keeps them within their limits
/// together with other daemons. Traffic thread only.
class AccountService : public IAccounts
{
public:
    /// Sends a control payload to another daemon. May be lost.
    using Send = std::function<void(DaemonId, std::string)>;

    /// All references outlive the service.
    AccountService(IEventLoop &loop, IRandom &random, const ConfirmationTime &confirmation,
                   Observers observers, Send send, const AccountServiceOptions &options);

    void setConfiguration(ConfigurationPtr configuration);
    /// How many daemons the platform's directory lists.
    void setListed(std::size_t daemons) { m_limits->setListed(daemons); }
    void setMembers(const DaemonId &self, const std::vector<Member> &members);
    /// A payload of the exchange of accounts.
    void receive(const DaemonId &from, const std::string &payload);
    /// Those that ask here for more than they may have first.
    std::vector<AccountStanding> standings() const;

    bool needsKey(const RuleSpec &rule) const override;
    tl::expected<const AccountSpec *, Verdict>
    identify(const RuleSpec &rule, const std::optional<AccountKey> &key) const override;
    std::optional<Verdict> take(const AccountName &account) override;
    void giveBack(const AccountName &account) override;

private:
    using Waiters = std::list<OneShot<bool> *>;

    Verdict refuseKey() const;
    void waitFor(const AccountName &account, TimePoint until);
    void sendAll();

    IEventLoop &m_loop;
    const ConfirmationTime &m_confirmation;
    Observers m_observers;
    Send m_send;
    AccountServiceOptions m_options;
    std::unique_ptr<IAccountLimits> m_limits;
    ConfigurationPtr m_configuration;
    std::unordered_map<AccountName, Waiters> m_waiters;
};

} // namespace ivyspar
