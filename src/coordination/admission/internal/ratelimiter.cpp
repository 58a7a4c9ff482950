#include "coordination/admission/internal/ratelimiter.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Lowest rate, in requests per second. A server that accepts none is still asked now and then, as
/// it could not lift its limit otherwise.
constexpr double MIN_RATE = 0.5;
/// Size of the bucket in time at the limit, beside one token: calls of several entry daemons arrive
/// in clusters, and timers fire late.
constexpr double BURST_SECONDS = 0.5;
/// Time that a call may wait for a token; after that it is better off at another server.
constexpr double MAX_WAIT_SECONDS = 0.1;

} // namespace

void RateLimiter::setLimit(TimePoint now, std::optional<RequestRate> limit)
{
    if (!limit) {
        m_bucket.reset();
        return;
    }
    if (!m_bucket) {
        m_bucket.emplace(BURST_SECONDS);
    }
    m_bucket->advance(now);
    m_bucket->setRate(std::max(toPerSecond(*limit), MIN_RATE));
}

bool RateLimiter::hasToken(TimePoint now) const
{
    return !m_bucket || m_bucket->hasToken(now);
}

bool RateLimiter::tryTake(TimePoint now)
{
    if (!hasToken(now)) {
        return false;
    }
    charge(now);
    return true;
}

void RateLimiter::charge(TimePoint now)
{
    if (m_bucket) {
        m_bucket->take(now);
    }
}

Duration RateLimiter::timeUntil(TimePoint now, std::size_t requests) const
{
    return m_bucket ? m_bucket->timeUntil(now, requests) : Duration::zero();
}

TimePoint RateLimiter::nextTokenAt() const
{
    return m_bucket ? m_bucket->nextTokenAt() : TimePoint();
}

std::size_t RateLimiter::maxWaiting() const
{
    return static_cast<std::size_t>(MAX_WAIT_SECONDS * rate());
}

} // namespace ivyspar
