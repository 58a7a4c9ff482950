#include "coordination/admission/internal/aimdlimit.h"

namespace ivyspar {

namespace {
constexpr double DECREASE = 0.9;
/// Growth per round of calls once the limit was lowered, as a share of the limit.
constexpr double INCREASE = 0.05;
/// The limit grows only while at least this share of it is used.
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
    // A cold gate doubles in each round of calls until the first sign of overload.
    const double step = m_isWarm ? INCREASE : 1.0;
    m_range.set(m_range.value() + step);
}

void AimdLimit::shrink(TimePoint now, Duration serviceTime)
{
    m_isWarm = true;
    // Calls that failed together tell of one overload: without this pause a burst of timeouts
    // would take the limit to its lowest value at once.
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
