#pragma once

#include <cstdint>
#include <optional>

#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"
#include "state/upstreamrun.h"

namespace ivyspar {

enum class UpstreamPhase {
    Ready,
    Draining, ///< Accepts no new calls and will shut down.
    Gone, ///< Has sent its goodbye.
};

/// State that a server reports to the daemon on its host.
struct UpstreamReport
{
    UpstreamRun run;
    /// Servers of the deployment state their instance id in responses to health checks.
    bool isVerifiable = false;
    ServiceName service;
    UpstreamVersion version;
    Endpoint endpoint;
    /// Maximum number of concurrent calls.
    std::uint32_t slots = 0;
    /// Maximum number of connections; 0 if not reported.
    std::uint32_t connections = 0;
    UpstreamPhase phase = UpstreamPhase::Ready;
    /// Increases with each report of a run. Set only if `isVerifiable`.
    std::uint64_t sequence = 0;
    /// Remaining time for which the server is slow after its start; empty if not reported.
    std::optional<Duration> coldLeft;
};

} // namespace ivyspar
