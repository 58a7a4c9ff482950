#include "app/internal/accounts/accountservice.h"

#include <algorithm>
#include <utility>

#include "protocol/accountexchange.h"

namespace ivyspar {

namespace {

/// Lower bound of the share of an account without a limit, relative to the share of all. Without
/// limits nothing tells a large account from an excessive one, and equal claims would starve it.
constexpr double UNLIMITED_MIN_RELATIVE_SHARE = 0.25;

} // namespace

AccountService::AccountService(IEventLoop &loop, IRandom &random,
                               const ConfirmationTime &confirmation, Observers observers, Send send,
                               const AccountServiceOptions &options)
    : m_loop(loop)
    , m_confirmation(confirmation)
    , m_observers(observers)
    , m_send(std::move(send))
    , m_options(options)
    , m_limits(makeAccountLimits(loop.now(), random, options.limits))
{
}

void AccountService::setConfiguration(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    AccountLimits limits;
    m_limited.clear();
    for (const AccountSpec &account : m_configuration->rules.accounts) {
        if (account.limit.isSet()) {
            limits.emplace(account.name, account.limit);
            m_limited.insert(account.name);
        }
    }
    m_limits->setLimits(m_loop.now(), std::move(limits));
}

void AccountService::setMembers(const DaemonId &self, const std::vector<Member> &members)
{
    std::vector<AccountMember> daemons;
    daemons.reserve(members.size());
    for (const Member &member : members) {
        daemons.push_back({ member.id, member.domain });
    }
    m_limits->setMembers(m_loop.now(), self, daemons);
}

bool AccountService::needsKey(const RuleSpec &rule) const
{
    return m_configuration && !m_configuration->rules.accounts.empty() && !rule.isAnonymous;
}

tl::expected<const AccountSpec *, Verdict>
AccountService::identify(const RuleSpec &rule, const std::optional<AccountKey> &key) const
{
    const AccountSpec *account =
        key && m_configuration ? findAccount(*m_configuration, *key) : nullptr;
    if (account || !needsKey(rule)) {
        return account;
    }
    return tl::unexpected<Verdict>(key ? refuseKey()
                                       : Verdict{ Outcome::NotRun, Reason::UnknownKey, {} });
}

/// `UnknownKey` is final: callers do not retry. A daemon whose configuration may be outdated must
/// not return it for a key that a newer configuration may contain.
Verdict AccountService::refuseKey() const
{
    const std::optional<Duration> age = m_confirmation.age(m_loop.now());
    if (age && *age <= m_options.maxConfirmationAge) {
        return Verdict{ Outcome::NotRun, Reason::UnknownKey, {} };
    }
    return Verdict{ Outcome::NotRun, Reason::UncertainKey, m_options.uncertainKeyRetryAfter };
}

std::optional<AccountClaim> AccountService::claimOf(const AccountName &account) const
{
    if (!m_configuration || m_configuration->rules.accounts.empty()) {
        return std::nullopt;
    }
    if (account.value().empty()) {
        return AccountClaim();
    }
    const double least = m_limited.count(account) > 0 ? 0 : UNLIMITED_MIN_RELATIVE_SHARE;
    return AccountClaim{ account, m_limits->localRate(m_loop.now(), account), least };
}

std::optional<Verdict> AccountService::take(const AccountName &account)
{
    const TimePoint since = m_loop.now();
    while (true) {
        const AccountDecision decision = m_limits->take(m_loop.now(), account, since);
        sendAll();
        if (decision.action == AccountAction::Admit) {
            return std::nullopt;
        }
        if (decision.action == AccountAction::Refuse) {
            m_observers.metrics.add(Counter::LimitRefusals);
            return Verdict{ Outcome::NotRun, Reason::OverLimit, decision.retryAfter };
        }
        waitForTokens(account, decision.until);
    }
}

void AccountService::waitForTokens(const AccountName &account, TimePoint until)
{
    constexpr Duration SHORTEST = std::chrono::milliseconds(1);
    OneShot<bool> granted(m_loop);
    Waiters &waiters = m_waiters[account];
    const auto place = waiters.insert(waiters.end(), &granted);
    granted.wait(std::max(std::chrono::duration_cast<Duration>(until - m_loop.now()), SHORTEST));
    waiters.erase(place);
    if (waiters.empty()) {
        m_waiters.erase(account);
    }
}

void AccountService::refund(const AccountName &account)
{
    m_limits->refund(m_loop.now(), account);
}

void AccountService::receive(const DaemonId &from, const std::string &payload)
{
    const auto message = decodeAccountMessage(payload);
    if (!message) {
        return;
    }
    std::vector<AccountName> granted;
    m_limits->receive(m_loop.now(), from, *message, granted);
    sendAll();
    for (const AccountName &account : granted) {
        const auto found = m_waiters.find(account);
        if (found == m_waiters.end()) {
            continue;
        }
        for (OneShot<bool> *waiter : found->second) {
            waiter->set(true);
        }
    }
}

void AccountService::sendAll()
{
    for (const OutgoingAccountMessage &send : m_limits->takeOutgoing()) {
        m_observers.metrics.add(Counter::AccountMessages);
        m_send(send.to, encodeAccountMessage(send.message));
    }
}

std::vector<AccountStatus> AccountService::statuses() const
{
    std::vector<AccountStatus> all = m_limits->statuses(m_loop.now());
    std::sort(all.begin(), all.end(), [](const AccountStatus &a, const AccountStatus &b) {
        return a.refused != b.refused ? a.refused > b.refused : a.account < b.account;
    });
    return all;
}

} // namespace ivyspar
