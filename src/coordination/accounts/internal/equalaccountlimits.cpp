#include "coordination/accounts/internal/equalaccountlimits.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

EqualAccountLimits::EqualAccountLimits(const AccountLimitOptions &options)
    : m_options(options)
    , m_daemons(options.startingDaemons)
{
}

void EqualAccountLimits::setMembers(TimePoint /*now*/, const DaemonId & /*self*/,
                                    const std::vector<AccountMember> &members)
{
    m_daemons = std::max(m_daemons, static_cast<double>(members.size()));
}

void EqualAccountLimits::setListed(std::size_t daemons)
{
    m_daemons = std::max(m_daemons, static_cast<double>(daemons));
}

void EqualAccountLimits::setLimits(TimePoint /*now*/, AccountLimits limits)
{
    m_limits = std::move(limits);
}

AccountRuling EqualAccountLimits::take(TimePoint now, const AccountName &account,
                                       TimePoint /*since*/)
{
    const auto limit = m_limits.find(account);
    if (limit == m_limits.end()) {
        return {};
    }
    Part &part = m_parts.emplace(account, Part{ 1, now }).first->second;
    const double rate = limit->second.rate / m_daemons;
    const double most = std::max(1.0, limit->second.burst / m_daemons);
    const double passed = toSeconds(std::chrono::duration_cast<Duration>(now - part.filledAt));
    part.tokens = std::min(part.tokens + passed * rate, most);
    part.filledAt = now;
    if (part.tokens < 1) {
        return AccountRuling{ AccountPass::Refuse, now, m_options.longestReturn / 3 };
    }
    part.tokens -= 1;
    return {};
}

void EqualAccountLimits::giveBack(TimePoint /*now*/, const AccountName &account)
{
    const auto found = m_parts.find(account);
    if (found != m_parts.end()) {
        found->second.tokens += 1;
    }
}

void EqualAccountLimits::receive(TimePoint /*now*/, const DaemonId & /*from*/,
                                 const AccountMessage & /*message*/,
                                 std::vector<AccountName> & /*granted*/)
{
}

std::vector<AccountStanding> EqualAccountLimits::standings(TimePoint /*now*/) const
{
    return {};
}

} // namespace ivyspar
