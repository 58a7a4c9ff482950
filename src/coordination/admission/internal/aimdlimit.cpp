#include "coordination/admission/internal/aimdlimit.h"

namespace ivyspar {

namespace {
/// Factor of a decrease.
constexpr double DECREASE = 0.9;
/// Increase of the limit per successful call, after the first decrease.
constexpr double INCREASE = 0.05;
/// The limit grows only while at least this share of it is in use.
constexpr double USED_SHARE = 0.5;
} // namespace

AimdLimit::AimdLimit(double initialShare, double minShare)
    : m_range(initialShare, minShare)
{
}

void AimdLimit::onSample(TimePoint now, const LimitSample &sample)
{
    switch (sample.result) {
    case CallResult::Success:
        grow(sample);
        break;
    case CallResult::Overloaded:
    case CallResult::TimedOut:
        shrink(now, sample.serviceTime);
        break;
    case CallResult::Failure:
    case CallResult::Cancelled:
        break;
    }
}

void AimdLimit::grow(const LimitSample &sample)
{
    if (sample.inFlight < USED_SHARE * m_range.value()) {
        return;
    }
    // Slow start: the limit doubles with each round of calls until the first sign of overload.
    const double step = m_isWarm ? INCREASE : 1.0;
    m_range.set(m_range.value() + step);
}

void AimdLimit::shrink(TimePoint now, Duration serviceTime)
{
    m_isWarm = true;
    // Calls that fail together indicate a single overload. Without this pause a burst of time-outs
    // would drop the limit to its minimum.
    if (now < m_nextDecrease) {
        return;
    }
    m_nextDecrease = now + serviceTime;
    m_range.set(m_range.value() * DECREASE);
}

void AimdLimit::setCeiling(std::uint32_t ceiling)
{
    m_range.setCeiling(ceiling);
}

std::uint32_t AimdLimit::limit() const
{
    return m_range.limit();
}

} // namespace ivyspar
