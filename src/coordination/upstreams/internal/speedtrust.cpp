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
}

double SpeedTrust::value() const
{
    if (m_count <= 0) {
        return 1;
    }
    const double spread = std::max(m_xx - m_x * m_x / m_count, 0.0);
    const double slope = m_xy - m_x * m_y / m_count;
    return std::clamp((PRIOR - slope) / (PRIOR + spread), 0.0, 1.0);
}

double SpeedTrust::trustedSpeed(double statedSpeed) const
{
    return std::pow(statedSpeed, value());
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
