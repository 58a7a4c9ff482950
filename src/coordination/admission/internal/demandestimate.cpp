#include "coordination/admission/internal/demandestimate.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

constexpr double MICROS_PER_SECOND = 1e6;
constexpr double MAX_LOAD = 100;

double ratio(Duration a, Duration b)
{
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

} // namespace

DemandEstimate::DemandEstimate(const DemandEstimateOptions &options)
    : m_options(options)
{
}

void DemandEstimate::advance(TimePoint now, double calls, double slots)
{
    const Duration step = now - m_updatedAt;
    if (!m_isStarted || slots <= 0) {
        m_updatedAt = now;
        m_isStarted = true;
        return;
    }
    if (step <= Duration::zero()) {
        return;
    }
    m_updatedAt = now;
    const double kept = std::exp(-ratio(step, m_options.occupancyAveragingTime));
    m_occupancy = m_occupancy * kept + calls / slots * (1 - kept);
    const double deviation = std::clamp(m_occupancy - m_options.targetOccupancy,
                                        -m_options.maxDeviationBelow, m_options.maxDeviationAbove);
    const Duration time = deviation > 0 ? m_options.raiseTime : m_options.lowerTime;
    m_correction *= std::exp(deviation * ratio(step, time));
    m_correction = std::clamp(m_correction, 1.0, m_options.maxCorrection);
}

void DemandEstimate::onArrival(TimePoint now, DemandShare admittedShare, Duration serviceTime)
{
    const DemandShare share = admittedShare == DemandShare() ? WHOLE_DEMAND : admittedShare;
    const double demandPerArrival =
        static_cast<double>(WHOLE_DEMAND.value()) / static_cast<double>(share.value());
    m_demand.add(now, demandPerArrival * static_cast<double>(serviceTime.count()),
                 m_options.averagingTime);
}

DemandLoad DemandEstimate::load(TimePoint now, double slots) const
{
    if (slots <= 0) {
        return DemandLoad();
    }
    const double busy = m_demand.rate(now, m_options.averagingTime) / MICROS_PER_SECOND;
    const double load = m_correction * busy / (m_options.targetUtilization * slots);
    return DemandLoad(
        static_cast<std::uint32_t>(std::lround(std::min(load, MAX_LOAD) * FULL_LOAD.value())));
}

} // namespace ivyspar
