#pragma once

#include <cstdint>

#include "state/serverload.h"
#include "state/time.h"
#include "state/workclock.h"

namespace ivyspar {

/// Start of a call, for the work that it takes.
struct WorkStart
{
    TimePoint at;
    /// Reading of the work clock.
    double work = 0;
};

/// The speed of a server and the work of others there, as its gate reckons with them. Plain object.
///
/// Until a load is set, all functions return what holds for a server of constant speed.
class ServerSpeed
{
public:
    void setLoad(TimePoint now, const ServerLoad &load);
    /// Call before each decision: what was stated counts less with its age.
    void advance(TimePoint now);

    /// Whether a recent statement is known, as of the latest `advance`.
    bool isKnown() const { return m_isKnown && m_load.isKnown(m_advancedAt); }
    /// Present speed relative to the usual one.
    double speed() const { return m_speed; }
    /// Speed averaged over the same time as the demand of the gate.
    double meanSpeed(TimePoint now) const;
    /// 0 if it is not known.
    SpeedShare reportedSpeed(TimePoint now) const { return m_load.speedAt(now); }
    /// Slots that the calls of others leave to this gate; a few in any case, as only responses tell
    /// when they end.
    std::uint32_t freeSlots(std::uint32_t slots) const;
    /// Time at which the latest statement no longer counts; `TimePoint::max()` without one.
    TimePoint expiresAt() const;

    WorkStart startWork(TimePoint now) const { return { now, m_clock.workAt(now) }; }
    /// The time that such a call would have taken at the usual speed.
    Duration timeAtUsualSpeed(TimePoint now, const WorkStart &start, Duration time) const;

private:
    ServerLoad m_load;
    bool m_isKnown = false;
    double m_speed = 1;
    double m_otherCalls = 0;
    double m_meanSpeed = 1;
    TimePoint m_advancedAt;
    WorkClock m_clock;
};

} // namespace ivyspar
