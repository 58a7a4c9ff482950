#include "coordination/admission/processorload.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Lag at which as much is let in as can be read. Below it entries open, above it they close. A
/// process that has used up its part of a tenth of a second runs on after up to 0.06 s.
constexpr Duration RIGHT_LAG = std::chrono::milliseconds(80);
/// A daemon whose mean lag was not larger for some time keeps up, whatever entries refuse: for want
/// of room elsewhere, or while they know no rule yet. Told as load here, what they refuse for that
/// would keep them closed, and they would open by a quarter a second.
constexpr Duration BEHIND = std::chrono::milliseconds(40);
constexpr Duration HOLD = std::chrono::milliseconds(2000);
/// Entries open by a quarter in the time that a tree takes while there is no lag …
constexpr double LEAST_PRESSURE = 0.8;
/// … and close by half at most, or one pause of the process would close them.
constexpr double MOST_PRESSURE = 2;
/// Time over which the lag is averaged.
constexpr Duration LAG_MEMORY = std::chrono::milliseconds(100);
/// Time over which is averaged what entries let in: longer than a tree takes, or entries would
/// close further before it shows here that they have closed.
constexpr Duration SHARE_MEMORY = std::chrono::milliseconds(1000);
constexpr double LARGEST_LOAD = 100;

} // namespace

void ProcessorLoad::onArrival(TimePoint now, DemandShare admittedShare, Duration lag)
{
    const double passed = toSeconds(now - m_at);
    m_at = now;
    const double lagWeight = 1 - std::exp(-passed / toSeconds(LAG_MEMORY));
    m_lag += lagWeight * (static_cast<double>(lag.count()) - m_lag);
    if (m_lag > static_cast<double>(BEHIND.count())) {
        m_behindAt = now;
    }
    m_isBinding = m_behindAt != TimePoint::min() && now - m_behindAt < HOLD;
    if (admittedShare == DemandShare()) {
        return;
    }
    const double standsFor =
        static_cast<double>(WHOLE_DEMAND.value()) / static_cast<double>(admittedShare.value());
    const double shareWeight = 1 - std::exp(-passed / toSeconds(SHARE_MEMORY));
    m_standsFor += shareWeight * (standsFor - m_standsFor);
}

DemandLoad ProcessorLoad::load() const
{
    if (!m_isBinding) {
        return DemandLoad();
    }
    const double behind = m_lag / static_cast<double>(RIGHT_LAG.count());
    const double pressure = std::min(LEAST_PRESSURE + (1 - LEAST_PRESSURE) * behind, MOST_PRESSURE);
    const double load = std::min(pressure * m_standsFor, LARGEST_LOAD);
    return DemandLoad(static_cast<std::uint32_t>(std::lround(load * FULL_LOAD.value())));
}

} // namespace ivyspar
