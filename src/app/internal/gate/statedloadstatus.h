#pragma once

#include "coordination/upstreams/statedload.h"
#include "state/load.h"
#include "state/time.h"

namespace ivyspar {

/// What a server states of its load, and what of it its gate goes by; for operators.
struct StatedLoadStatus
{
    StatedLoad load;
    /// Since the statement arrived.
    Duration age{ 0 };
    /// Time for which the stated work time has been at about this level.
    Duration unchangedFor{ 0 };
    /// 0 if no speed is known.
    SpeedShare heededSpeed;
    /// Calls of others that the gate reckons with.
    double otherCalls = 0;
};

} // namespace ivyspar
