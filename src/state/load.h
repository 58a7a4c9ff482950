#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "state/ids.h"
#include "state/usage.h"

namespace ivyspar {

/// Speed at which a server works compared to its usual one, in thousandths; 0 if it is not known.
using SpeedShare = StrongType<std::uint32_t, struct SpeedShareTag>;
constexpr SpeedShare USUAL_SPEED{ 1000 };

/// Relative to the usual speed; 1 if it is not known.
inline double toRatio(SpeedShare speed)
{
    return speed == SpeedShare()
        ? 1
        : static_cast<double>(speed.value()) / static_cast<double>(USUAL_SPEED.value());
}

/// Never 0, which means that the speed is not known.
inline SpeedShare toSpeedShare(double ratio)
{
    const auto thousandths = std::lround(ratio * static_cast<double>(USUAL_SPEED.value()));
    return SpeedShare(static_cast<std::uint32_t>(std::max(thousandths, 1L)));
}

/// Load of a gate; sent with every response of its daemon.
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    /// The gate's current concurrency limit.
    std::uint32_t limit = 0;
    /// The lowest rank that the gate currently admits; 0 if it admits all.
    Rank floor;
    /// Demand that entry daemons would send here if they refused nothing, relative to the gate's
    /// capacity.
    DemandLoad demand;
    /// The server accepts no new calls.
    bool draining = false;
    /// Speed of the server, by its own statement as far as the gate trusts it.
    SpeedShare speed = {};
};

} // namespace ivyspar
