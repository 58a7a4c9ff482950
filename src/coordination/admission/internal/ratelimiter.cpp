#include "coordination/admission/internal/ratelimiter.h"

#include <algorithm>
#include <cmath>

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
/// A token that is complete but for rounding.
constexpr double ALMOST_ONE = 1 - 1e-6;

} // namespace

void RateLimiter::setLimit(TimePoint now, std::optional<RequestRate> limit)
{
    if (!limit) {
        m_rate.reset();
        return;
    }
    m_tokens = m_rate ? tokens(now) : 0;
    m_updatedAt = now;
    m_rate = std::max(toPerSecond(*limit), MIN_RATE);
    m_tokens = std::min(m_tokens, capacity());
}

double RateLimiter::capacity() const
{
    return 1 + BURST_SECONDS * rate();
}

double RateLimiter::tokens(TimePoint now) const
{
    const double passed = std::max(toSeconds(now - m_updatedAt), 0.0);
    return std::min(m_tokens + rate() * passed, capacity());
}

bool RateLimiter::hasToken(TimePoint now) const
{
    return !isLimited() || tokens(now) >= ALMOST_ONE;
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
    if (!isLimited()) {
        return;
    }
    m_tokens = tokens(now) - 1;
    m_updatedAt = now;
}

Duration RateLimiter::timeUntil(TimePoint now, std::size_t requests) const
{
    if (!isLimited()) {
        return Duration::zero();
    }
    constexpr double MICROS_PER_SECOND = 1e6;
    const double missing = std::max(static_cast<double>(requests) - tokens(now), 0.0);
    return Duration(std::llround(std::ceil(missing / rate() * MICROS_PER_SECOND)));
}

TimePoint RateLimiter::nextTokenAt() const
{
    return m_updatedAt + timeUntil(m_updatedAt, 1);
}

std::size_t RateLimiter::maxWaiting() const
{
    return static_cast<std::size_t>(MAX_WAIT_SECONDS * rate());
}

} // namespace ivyspar
