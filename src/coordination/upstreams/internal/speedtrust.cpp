#include "coordination/upstreams/speedtrust.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Calls after which an earlier one counts less by a factor of e.
constexpr double MEMORY_CALLS = 300;
/// Weight of the assumption that the statements are true, as the sum of the squared deviations of
/// the logarithm of the speed: that of two calls at 0.4 times the usual speed.
constexpr double PRIOR = 1.7;
/// Weight of one call in what is kept of earlier evidence.
constexpr double BELIEF_WEIGHT = 0.02;
/// Calls at one and the same stated speed after which half of it is ignored.
constexpr double CONSTANT_CALLS = 10;

double logOf(Duration time)
{
    return std::log(static_cast<double>(std::max<Duration::rep>(time.count(), 1)));
}

} // namespace

void SpeedTrust::add(Duration time, double speed)
{
    const double x = std::log(speed);
    const double y = logOf(time);
    for (double *sum : { &m_count, &m_x, &m_y, &m_xx, &m_xy }) {
        *sum *= 1 - 1 / MEMORY_CALLS;
    }
    m_count += 1;
    m_x += x;
    m_y += y;
    m_xx += x * x;
    m_xy += x * y;
    if (spread() > PRIOR) {
        m_belief += BELIEF_WEIGHT * (value() - m_belief);
    }
}

double SpeedTrust::spread() const
{
    return m_count > 0 ? std::max(m_xx - m_x * m_x / m_count, 0.0) : 0;
}

double SpeedTrust::value() const
{
    if (m_count <= 0) {
        return 1;
    }
    const double slope = m_xy - m_x * m_y / m_count;
    return std::clamp((PRIOR * m_belief - slope) / (PRIOR + spread()), 0.0, 1.0);
}

/// Constant slowness shows in the times of calls, with or without a statement.
double SpeedTrust::unconfirmedMean() const
{
    const double constantShare = PRIOR / (PRIOR + spread());
    return constantShare * m_x / (m_count + CONSTANT_CALLS);
}

double SpeedTrust::trustedSpeed(double statedSpeed) const
{
    const double heeded = value() * (std::log(statedSpeed) - unconfirmedMean());
    return std::min(std::exp(heeded), 1.0);
}

double SpeedTrust::excess(Duration time, double speed) const
{
    if (m_count <= 0) {
        return 0;
    }
    const double expected = (m_y - value() * (std::log(speed) * m_count - m_x)) / m_count;
    return logOf(time) - expected;
}

} // namespace ivyspar
