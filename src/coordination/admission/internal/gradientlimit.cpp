#include "coordination/admission/internal/gradientlimit.h"

#include <cmath>

namespace ivyspar {

namespace {
/// Weight of one sample in the recent and in the long-term mean.
constexpr double SHORT_WEIGHT = 0.05;
constexpr double LONG_WEIGHT = 0.002;
/// Increase of the service time that does not lower the limit.
constexpr double TOLERANCE = 1.5;
constexpr double MIN_GRADIENT = 0.5;
/// Weight of one sample in the limit.
constexpr double LIMIT_WEIGHT = 0.02;
/// Share of the limit to approach when the upstream refuses a call.
constexpr double OVERLOADED_SHARE = 0.9;
/// The limit changes only while at least this share of it is in use, unless the upstream refuses.
constexpr double USED_SHARE = 0.5;
} // namespace

GradientLimit::GradientLimit(double initialShare, double minShare)
    : m_range(initialShare, minShare)
{
}

void GradientLimit::onSample(TimePoint /*now*/, const LimitSample &sample)
{
    const double limit = m_range.value();
    if (sample.result == CallResult::Overloaded) {
        m_range.set(limit + LIMIT_WEIGHT * (OVERLOADED_SHARE * limit - limit));
        return;
    }
    if (sample.result != CallResult::Success && sample.result != CallResult::TimedOut) {
        return;
    }
    const auto time = static_cast<double>(sample.serviceTime.count());
    if (m_long <= 0) {
        m_short = m_long = time;
    }
    m_short += SHORT_WEIGHT * (time - m_short);
    m_long += LONG_WEIGHT * (time - m_long);
    // After a period of slow calls the long-term mean is too high and would hide the next one.
    if (m_long > 2 * m_short) {
        m_long *= 0.95;
    }
    if (sample.inFlight < USED_SHARE * limit || m_short <= 0) {
        return;
    }
    const double gradient = std::clamp(TOLERANCE * m_long / m_short, MIN_GRADIENT, 1.0);
    const double wanted = gradient * limit + std::sqrt(limit);
    m_range.set(limit + LIMIT_WEIGHT * (wanted - limit));
}

void GradientLimit::setCeiling(std::uint32_t ceiling)
{
    m_range.setCeiling(ceiling);
}

std::uint32_t GradientLimit::limit() const
{
    return m_range.limit();
}

} // namespace ivyspar
