#pragma once

#include <cstdint>

#include "state/ids.h"
#include "state/usage.h"

namespace ivyspar {

/// What a gate says of itself; rides on every answer of its daemon.
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /// The gate's current concurrency limit.
    std::uint32_t limit = 0;
    /// The lowest rank that the gate admits now; 0 while it admits all.
    Rank floor;
    /// What entries would send here if they refused nothing, over what the gate can take.
    DemandLoad demand;
    /// The server takes no new work.
    bool draining = false;
};

} // namespace ivyspar
