#include "state/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// A token that is complete but for rounding.
constexpr double ALMOST_ONE = 1 - 1e-6;

} // namespace

void TokenBucket::advance(TimePoint now)
{
    m_tokens = tokens(now);
    m_updatedAt = now;
}

double TokenBucket::tokens(TimePoint now) const
{
    const double passed = std::max(toSeconds(now - m_updatedAt), 0.0);
    return std::min(m_tokens + m_rate * passed, 1 + m_burstSeconds * m_rate);
}

bool TokenBucket::hasToken(TimePoint now) const
{
    return tokens(now) >= ALMOST_ONE;
}

void TokenBucket::take(TimePoint now)
{
    advance(now);
    m_tokens -= 1;
}

Duration TokenBucket::timeUntil(TimePoint now, std::size_t tokens) const
{
    constexpr double MICROS_PER_SECOND = 1e6;
    const double missing = std::max(static_cast<double>(tokens) - this->tokens(now), 0.0);
    return Duration(std::llround(std::ceil(missing / m_rate * MICROS_PER_SECOND)));
}

} // namespace ivyspar
