#include "coordination/accounts/internal/accounttokencache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyspar {

AccountTokenCache::AccountTokenCache(TimePoint now, const AccountLimitOptions &options)
    : m_options(options)
    , m_lastUsedAt(now)
    , m_grantedAt(now)
    , m_leaseFilledAt(now)
{
    // Start with a full window of zero demand: a single request does not define a rate.
    m_demand.add(now - options.demandWindow, 0, options.demandWindow);
    m_longTermDemand.add(now - options.leaseDuration, 0, options.leaseDuration);
}

void AccountTokenCache::recordDemand(TimePoint now)
{
    m_lastUsedAt = now;
    m_demand.add(now, 1, m_options.demandWindow);
    m_longTermDemand.add(now, 1, m_options.leaseDuration);
}

void AccountTokenCache::recordRefusal(TimePoint now)
{
    m_refused.add(now, 1, m_options.demandWindow);
}

bool AccountTokenCache::take(TimePoint now)
{
    expire(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void AccountTokenCache::refund(TimePoint now)
{
    expire(now);
    m_tokens += 1;
}

bool AccountTokenCache::takeFromLease(TimePoint now, const AccountLimit &limit)
{
    refillLease(now, limit);
    if (m_leaseTokens < 1) {
        return false;
    }
    m_leaseTokens -= 1;
    ++m_locallyAdmitted;
    return true;
}

std::optional<Duration> AccountTokenCache::timeUntilLeaseToken(TimePoint now,
                                                               const AccountLimit &limit) const
{
    const double rate = leaseShare(now) * limit.rate;
    if (rate <= 0) {
        return std::nullopt;
    }
    constexpr double MICROS = 1e6;
    return Duration(static_cast<Duration::rep>(std::max(1 - m_leaseTokens, 0.0) / rate * MICROS));
}

bool AccountTokenCache::isLow(TimePoint now, const AccountLimit &limit) const
{
    const double target = targetTokens(now, limit);
    return m_tokens < std::max(target / 2, std::min(target, 1.0));
}

TokenDemand AccountTokenCache::demand(TimePoint now, const AccountName &account,
                                      const AccountLimit &limit, std::uint32_t waiting)
{
    expire(now);
    const double target = targetTokens(now, limit);
    const double excess = std::floor(std::max(m_tokens - std::max(2 * target, 1.0), 0.0));
    m_tokens -= excess;
    TokenDemand demand;
    demand.account = account;
    demand.waiting = waiting;
    demand.prefetch = static_cast<std::uint32_t>(std::ceil(std::max(target - m_tokens, 0.0)));
    demand.held = static_cast<std::uint32_t>(m_tokens);
    demand.returned = static_cast<std::uint32_t>(excess);
    demand.rate = demandRate(now);
    demand.longTermRate = m_longTermDemand.rate(now, m_options.leaseDuration);
    demand.lease = m_lease;
    demand.locallyAdmitted = m_locallyAdmitted;
    demand.leaseLeft =
        std::max(std::chrono::duration_cast<Duration>(m_leaseUntil - now), Duration::zero());
    return demand;
}

void AccountTokenCache::recordRequest(const PendingRequest &pendingRequest)
{
    m_pendingRequest = pendingRequest;
}

std::optional<DaemonId> AccountTokenCache::expirePendingRequest(TimePoint now)
{
    if (!m_pendingRequest || now - m_pendingRequest->sentAt < m_options.requestTimeout) {
        return std::nullopt;
    }
    const DaemonId target = m_pendingRequest->target;
    m_pendingRequest.reset();
    return target;
}

bool AccountTokenCache::receive(TimePoint now, const TokenGrant &grant)
{
    const TimePoint sentAt = m_pendingRequest->sentAt;
    const bool isFromFallback = m_pendingRequest->isForFallback;
    m_pendingRequest.reset();
    if (now - sentAt > m_options.grantLifetime) {
        return false;
    }
    m_tokens += grant.tokens;
    m_locallyAdmitted += isFromFallback ? grant.tokens : 0;
    m_grantedAt = now;
    m_lease = grant.lease;
    // Counted from when the request was sent: the home starts its own count no earlier.
    m_leaseUntil = sentAt + grant.leaseDuration;
    m_emptyUntil = now + grant.emptyFor;
    m_retryAfter = grant.retryAfter;
    return true;
}

/// At most half of this entry's share of the burst: more would sit idle at entries while others run
/// out of tokens.
double AccountTokenCache::targetTokens(TimePoint now, const AccountLimit &limit) const
{
    const double most = std::max(1.0, limit.burst * leaseShare(now) / 2);
    const double rate = demandRate(now);
    const double least = rate < m_options.minPrefetchRate ? 0 : 1;
    return least * std::clamp(rate * toSeconds(m_options.prefetchTime), 1.0, most);
}

double AccountTokenCache::leaseShare(TimePoint now) const
{
    return now < m_leaseUntil
        ? static_cast<double>(m_lease.value()) / static_cast<double>(WHOLE_RATE.value())
        : 0;
}

/// Accumulates tokens for at most `unresponsiveTime`: before that, home or fallback could still be
/// reached.
void AccountTokenCache::refillLease(TimePoint now, const AccountLimit &limit)
{
    const double passed =
        std::min(toSeconds(std::chrono::duration_cast<Duration>(now - m_leaseFilledAt)),
                 toSeconds(m_options.unresponsiveTime));
    m_leaseFilledAt = now;
    const double share = leaseShare(now);
    const double most = std::max(1.0, share * limit.burst / 2);
    m_leaseTokens = std::min(m_leaseTokens + passed * share * limit.rate, most);
}

void AccountTokenCache::expire(TimePoint now)
{
    if (now - m_grantedAt > m_options.cachedTokenLifetime) {
        m_tokens = 0;
    }
}

} // namespace ivyspar
