#pragma once

#include <cstdint>
#include <optional>

#include "state/strongtype.h"

namespace ivyspar {

/// How long work takes on a server's machine at this moment, in percent of the usual time.
using WorkTimePercent = StrongType<std::uint32_t, struct WorkTimePercentTag>;
constexpr WorkTimePercent USUAL_WORK_TIME{ 100 };

/// Load that a server states about itself in a response.
struct StatedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Not stated by all servers.
    std::optional<WorkTimePercent> workTime;
};

/// The load statement in a single response of a server.
struct LoadStatement
{
    /// Nothing if the response states no load, or a malformed one.
    std::optional<StatedLoad> load;
    bool isMalformed = false;
};

} // namespace ivyspar
