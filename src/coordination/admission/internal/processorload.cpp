#include "coordination/admission/processorload.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Lag at which as much is let in as can be read. Below it entries open, above it they close. A
/// process that has used up its part of a tenth of a second runs on after up to 0.06 s.
constexpr Duration TARGET_LAG = std::chrono::milliseconds(80);
/// A daemon whose mean lag was not larger for some time keeps up, whatever entries refuse: for want
/// of room elsewhere, or while they know no rule yet. Told as load here, what they refuse for that
/// would keep them closed, and they would open by a quarter a second.
constexpr Duration OVERLOAD_LAG = std::chrono::milliseconds(40);
constexpr Duration OVERLOAD_HOLD = std::chrono::milliseconds(2000);
/// Entries open by a quarter in the time that a tree takes while there is no lag …
constexpr double MIN_PRESSURE = 0.8;
/// … and close by half at most, or one pause of the process would close them.
constexpr double MAX_PRESSURE = 2;
/// Time over which the lag is averaged.
constexpr Duration LAG_AVERAGING_TIME = std::chrono::milliseconds(100);
/// Time over which is averaged what entries let in: longer than a tree takes, or entries would
/// close further before it shows here that they have closed.
constexpr Duration SHARE_AVERAGING_TIME = std::chrono::milliseconds(1000);
constexpr double MAX_LOAD = 100;

} // namespace

void ProcessorLoad::onArrival(TimePoint now, DemandShare admittedShare, Duration lag)
{
    const double passed = toSeconds(now - m_at);
    m_at = now;
    const double lagWeight = 1 - std::exp(-passed / toSeconds(LAG_AVERAGING_TIME));
    m_lag += lagWeight * (static_cast<double>(lag.count()) - m_lag);
    if (m_lag > static_cast<double>(OVERLOAD_LAG.count())) {
        m_overloadedAt = now;
    }
    m_isOverloaded = m_overloadedAt != TimePoint::min() && now - m_overloadedAt < OVERLOAD_HOLD;
    if (admittedShare == DemandShare()) {
        return;
    }
    const double demandPerArrival =
        static_cast<double>(WHOLE_DEMAND.value()) / static_cast<double>(admittedShare.value());
    const double shareWeight = 1 - std::exp(-passed / toSeconds(SHARE_AVERAGING_TIME));
    m_demandPerArrival += shareWeight * (demandPerArrival - m_demandPerArrival);
}

DemandLoad ProcessorLoad::load() const
{
    if (!m_isOverloaded) {
        return DemandLoad();
    }
    const double relativeLag = m_lag / static_cast<double>(TARGET_LAG.count());
    const double pressure = std::min(MIN_PRESSURE + (1 - MIN_PRESSURE) * relativeLag, MAX_PRESSURE);
    const double load = std::min(pressure * m_demandPerArrival, MAX_LOAD);
    return DemandLoad(static_cast<std::uint32_t>(std::lround(load * FULL_LOAD.value())));
}

} // namespace ivyspar
