#include "coordination/admission/processorload.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Lag at which admission matches what can be read. Below it entry daemons admit more, above it
/// less. A process that has used up its processor quota for a period of 100 ms is resumed after up
/// to 60 ms.
constexpr Duration TARGET_LAG = std::chrono::milliseconds(80);
/// A daemon whose mean lag stayed below this for `OVERLOAD_HOLD` keeps up, whatever entry daemons
/// refuse because of other services or because a rule is still unknown to them. Reporting those
/// refusals as load here would keep them refusing; their admission would recover by only a quarter
/// per second.
constexpr Duration OVERLOAD_LAG = std::chrono::milliseconds(40);
constexpr Duration OVERLOAD_HOLD = std::chrono::milliseconds(2000);
/// Without lag, admission grows by a quarter in the time that a call tree takes …
constexpr double MIN_PRESSURE = 0.8;
/// … and it at most halves; otherwise a single pause of the process would stop admission.
constexpr double MAX_PRESSURE = 2;
/// Time over which the lag is averaged.
constexpr Duration LAG_AVERAGING_TIME = std::chrono::milliseconds(100);
/// Time over which the admitted share is averaged. Longer than a call tree takes; otherwise entry
/// daemons would reduce admission further before an earlier reduction takes effect here.
constexpr Duration SHARE_AVERAGING_TIME = std::chrono::milliseconds(1000);
constexpr double MAX_LOAD = 100;

} // namespace

void ProcessorLoad::onArrival(TimePoint now, DemandShare admittedShare, Duration lag)
{
    const double passed = toSeconds(now - m_updatedAt);
    m_updatedAt = now;
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
