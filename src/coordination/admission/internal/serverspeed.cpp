#include "coordination/admission/internal/serverspeed.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Averaging time of the demand that the mean speed is compared with.
constexpr Duration AVERAGING_TIME = std::chrono::seconds(1);
/// Share of the slots that the gate uses in any case.
constexpr double MIN_FREE_SHARE = 0.125;

} // namespace

void ServerSpeed::setLoad(TimePoint now, const ServerLoad &load)
{
    advance(now);
    m_isKnown = true;
    m_load = load;
    advance(now);
}

void ServerSpeed::advance(TimePoint now)
{
    if (!m_isKnown) {
        return;
    }
    m_meanSpeed = meanSpeed(now);
    m_advancedAt = now;
    m_speed = m_load.relativeSpeed(now);
    m_otherCalls = m_load.otherCallsAt(now);
    m_clock.setSpeed(now, m_speed);
}

double ServerSpeed::meanSpeed(TimePoint now) const
{
    if (!m_isKnown) {
        return 1;
    }
    const double kept = std::exp(-toSeconds(now - m_advancedAt) / toSeconds(AVERAGING_TIME));
    return m_speed + (m_meanSpeed - m_speed) * kept;
}

std::uint32_t ServerSpeed::freeSlots(std::uint32_t slots) const
{
    const double few = std::min<double>(slots, std::max(1.0, std::round(MIN_FREE_SHARE * slots)));
    return static_cast<std::uint32_t>(std::max(std::floor(slots - m_otherCalls), few));
}

TimePoint ServerSpeed::expiresAt() const
{
    return m_otherCalls > 0 ? m_load.statedAt + ServerLoad::LIFETIME : TimePoint::max();
}

Duration ServerSpeed::timeAtUsualSpeed(TimePoint now, const WorkStart &start, Duration time) const
{
    const double passed = static_cast<double>((now - start.at).count());
    if (!m_isKnown || passed <= 0) {
        return time;
    }
    const double share = (m_clock.workAt(now) - start.work) / passed;
    return Duration(std::llround(static_cast<double>(time.count()) * share));
}

} // namespace ivyspar
