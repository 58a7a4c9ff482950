#include "coordination/accounts/internal/equalaccountlimits.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

EqualAccountLimits::EqualAccountLimits(const AccountLimitOptions &options)
    : m_options(options)
    , m_daemons(options.assumedDaemons)
{
}

void EqualAccountLimits::setMembers(TimePoint /*now*/, const DaemonId & /*self*/,
                                    const std::vector<AccountMember> &members)
{
    m_daemons = std::max(m_daemons, static_cast<double>(members.size()));
}

void EqualAccountLimits::setDirectorySize(std::size_t daemons)
{
    m_daemons = std::max(m_daemons, static_cast<double>(daemons));
}

void EqualAccountLimits::setLimits(TimePoint /*now*/, AccountLimits limits)
{
    m_limits = std::move(limits);
    m_meanRate = meanRateOf(m_limits);
}

AccountDecision EqualAccountLimits::take(TimePoint now, const AccountName &account,
                                         TimePoint /*since*/)
{
    const auto limit = m_limits.find(account);
    if (limit == m_limits.end()) {
        return {};
    }
    Bucket &bucket = m_buckets.emplace(account, Bucket{ 1, now }).first->second;
    const double rate = limit->second.rate / m_daemons;
    const double most = std::max(1.0, limit->second.burst / m_daemons);
    const double passed = toSeconds(std::chrono::duration_cast<Duration>(now - bucket.filledAt));
    bucket.tokens = std::min(bucket.tokens + passed * rate, most);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        return AccountDecision{ AccountAction::Refuse, now, m_options.maxRetryAfter / 3 };
    }
    bucket.tokens -= 1;
    return {};
}

void EqualAccountLimits::refund(TimePoint /*now*/, const AccountName &account)
{
    const auto found = m_buckets.find(account);
    if (found != m_buckets.end()) {
        found->second.tokens += 1;
    }
}

double EqualAccountLimits::localRate(TimePoint /*now*/, const AccountName &account) const
{
    const auto limit = m_limits.find(account);
    return (limit == m_limits.end() ? m_meanRate : limit->second.rate) / m_daemons;
}

void EqualAccountLimits::receive(TimePoint /*now*/, const DaemonId & /*from*/,
                                 const AccountMessage & /*message*/,
                                 std::vector<AccountName> & /*granted*/)
{
}

std::vector<AccountStatus> EqualAccountLimits::statuses(TimePoint /*now*/) const
{
    return {};
}

} // namespace ivyspar
