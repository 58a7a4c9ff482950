#pragma once

#include <algorithm>

#include "state/load.h"
#include "state/time.h"

namespace ivyspar {

/// What a server's gate goes by of the server's statements about its load. It counts less with its
/// age, as the speed of a server changes many times per second, and not at all after `LIFETIME`.
struct ServerLoad
{
    static constexpr Duration LIFETIME = std::chrono::seconds(1);

    TimePoint statedAt;
    /// Speed of the server at most `USUAL_SPEED`; 0 if it is not known.
    SpeedShare speed;
    /// Calls running or waiting inside the server beside those of its gate.
    double otherCalls = 0;

    /// From 1, when stated, to 0 at the end of its lifetime.
    double weight(TimePoint now) const
    {
        return std::clamp(1 - toSeconds(now - statedAt) / toSeconds(LIFETIME), 0.0, 1.0);
    }
    bool isKnown(TimePoint now) const { return speed != SpeedShare() && weight(now) > 0; }
    /// Speed relative to the usual one; 1 if it is not known.
    double relativeSpeed(TimePoint now) const
    {
        return isKnown(now) ? 1 - weight(now) * (1 - toRatio(speed)) : 1;
    }
    /// As `relativeSpeed`; 0 if it is not known.
    SpeedShare speedAt(TimePoint now) const
    {
        return isKnown(now) ? toSpeedShare(relativeSpeed(now)) : SpeedShare();
    }
    double otherCallsAt(TimePoint now) const { return isKnown(now) ? weight(now) * otherCalls : 0; }
};

} // namespace ivyspar
