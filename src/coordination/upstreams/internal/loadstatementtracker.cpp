#include "coordination/upstreams/loadstatementtracker.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Bounds of a plausible work time: ten times as fast as usual, and a hundred times as slow.
constexpr WorkTimePercent MIN_WORK_TIME{ 10 };
constexpr WorkTimePercent MAX_WORK_TIME{ 10'000 };
/// Lower bound of the speed that is heeded: a single false statement must not make all queued calls
/// look as if they could not end in time.
constexpr double MIN_SPEED = 0.1;
/// A slow server whose calls depend on its statements by less than this is not believed.
constexpr double MIN_TRUST = 0.25;
/// Stated speed, relative to the usual one, below which a server counts as slow.
constexpr double SLOW_SPEED = 0.8;
/// A work time that differs from the level by more than this factor begins a new level.
constexpr double LEVEL_FACTOR = 1.25;
/// The response to a health check may count itself as running.
constexpr double OTHER_CALLS_TOLERANCE = 1;

double speedOf(WorkTimePercent workTime)
{
    const double speed = static_cast<double>(USUAL_WORK_TIME.value()) / workTime.value();
    return std::clamp(speed, MIN_SPEED, 1.0);
}

bool isPlausible(const StatedLoad &load)
{
    return load.running <= load.slots
        && (!load.workTime || (*load.workTime >= MIN_WORK_TIME && *load.workTime <= MAX_WORK_TIME));
}

} // namespace

bool LoadStatementTracker::isFresh(TimePoint now) const
{
    return m_newest && m_newest->workTime && now - m_statedAt < ServerLoad::LIFETIME;
}

bool LoadStatementTracker::onStatement(TimePoint now, const StatedLoad &load,
                                       std::uint32_t ownCalls)
{
    if (!isPlausible(load)) {
        return false;
    }
    if (!load.workTime) {
        m_newest = load;
        m_statedAt = now;
        m_serverLoad = ServerLoad();
        return true;
    }
    updateLevel(now, *load.workTime);
    m_hasStatedSpeed = true;
    m_newest = load;
    m_statedAt = now;
    const double stated = speedOf(*load.workTime);
    m_statedClock.setSpeed(now, stated);
    m_statedOthers = std::max(
        static_cast<double>(load.running) + load.waiting - ownCalls - OTHER_CALLS_TOLERANCE, 0.0);
    m_othersTrust.onStatement(now, m_statedOthers > 0);
    const bool areOthersBelieved = m_othersTrust.isBelieved();
    m_serverLoad.statedAt = now;
    m_serverLoad.speed = toSpeedShare(m_speedTrust.trustedSpeed(stated));
    m_serverLoad.otherCalls = areOthersBelieved ? m_statedOthers : 0;
    const bool isSpeedBelieved = stated >= SLOW_SPEED || m_speedTrust.value() >= MIN_TRUST;
    return isSpeedBelieved && (areOthersBelieved || m_statedOthers <= 0);
}

void LoadStatementTracker::updateLevel(TimePoint now, WorkTimePercent workTime)
{
    const double percent = workTime.value();
    const bool isSameLevel = percent <= m_level * LEVEL_FACTOR && percent * LEVEL_FACTOR >= m_level;
    if (!isSameLevel || !isFresh(now)) {
        m_level = percent;
        m_levelSince = now;
    }
}

TrackedCall LoadStatementTracker::startCall(TimePoint now, std::uint32_t ownCalls)
{
    TrackedCall call;
    call.startedAt = now;
    call.work = m_statedClock.workAt(now);
    call.isSpeedKnown = isFresh(now);
    call.isBeyondSlots = call.isSpeedKnown && m_othersTrust.isOnTrial()
        && ownCalls + m_statedOthers > m_newest->slots;
    return call;
}

void LoadStatementTracker::onSuccess(TimePoint now, const TrackedCall &call)
{
    const auto time = std::chrono::duration_cast<Duration>(now - call.startedAt);
    if (!call.isSpeedKnown || time <= Duration::zero()) {
        return;
    }
    const double worked = m_statedClock.workAt(now) - call.work;
    const double speed = worked / static_cast<double>(time.count());
    if (call.isBeyondSlots) {
        m_othersTrust.onSuccess(now, m_speedTrust.excess(time, speed));
    }
    m_speedTrust.add(time, speed);
}

void LoadStatementTracker::onOverloaded(TimePoint now, const TrackedCall &call)
{
    if (call.isBeyondSlots) {
        m_othersTrust.onOverloaded(now);
    }
}

} // namespace ivyspar
