#pragma once

#include <cstdint>
#include <optional>

#include "coordination/upstreams/othercallstrust.h"
#include "coordination/upstreams/speedtrust.h"
#include "coordination/upstreams/statedload.h"
#include "state/serverload.h"
#include "state/time.h"
#include "state/workclock.h"

namespace ivyspar {

/// A call that is running at the server, as far as it is compared with the server's statements.
struct TrackedCall
{
    TimePoint startedAt;
    /// Reading of the stated speed's clock.
    double work = 0;
    /// Whether the stated speed was known at its start.
    bool isSpeedKnown = false;
    /// Whether the call had to wait inside the server if the statement was true.
    bool isBeyondSlots = false;
};

/// Keeps the newest statement of a server's run about its load, and weighs it against what the gate
/// itself sees. Plain object.
///
/// A statement without a work time is only shown to operators. Faster than usual counts as usual:
/// such a statement could only attract calls.
class LoadStatementTracker
{
public:
    /// The server stated its load. `ownCalls`: calls of its gate that may be running there. Returns
    /// false if the statement, or a part of it that matters, is implausible and ignored.
    bool onStatement(TimePoint now, const StatedLoad &load, std::uint32_t ownCalls);
    /// A call is sent to the server. `ownCalls` includes it.
    TrackedCall startCall(TimePoint now, std::uint32_t ownCalls);
    /// The call ended. Nothing is learned from calls that failed for another reason than a lack of
    /// capacity.
    void onSuccess(TimePoint now, const TrackedCall &call);
    void onOverloaded(TimePoint now, const TrackedCall &call);

    /// What the gate goes by; unknown unless the server states its work time.
    const ServerLoad &serverLoad() const { return m_serverLoad; }
    /// Whether the run has stated a work time at any time.
    bool hasStatedSpeed() const { return m_hasStatedSpeed; }
    /// The newest plausible statement.
    const std::optional<StatedLoad> &newest() const { return m_newest; }
    TimePoint statedAt() const { return m_statedAt; }
    /// Time since which the stated work time has been at about the present level.
    TimePoint unchangedSince() const { return m_levelSince; }

private:
    bool isFresh(TimePoint now) const;
    void updateLevel(TimePoint now, WorkTimePercent workTime);

    std::optional<StatedLoad> m_newest;
    TimePoint m_statedAt;
    ServerLoad m_serverLoad;
    bool m_hasStatedSpeed = false;
    /// Work time at the beginning of the present level.
    double m_level = 0;
    TimePoint m_levelSince;
    /// Calls of others as stated, whether they are believed or not.
    double m_statedOthers = 0;
    WorkClock m_statedClock;
    SpeedTrust m_speedTrust;
    OtherCallsTrust m_othersTrust;
};

} // namespace ivyspar
