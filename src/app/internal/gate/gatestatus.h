#pragma once

#include <cstdint>

#include "state/ids.h"
#include "state/load.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

/// State of one upstream and its gate, for operators.
struct GateStatus
{
    ServiceName service;
    LoadReport load;
    UpstreamNotice notice;
    /// Requests sent to the upstream, health checks included.
    double sendsPerSecond = 0;
    /// Queued calls that can still meet their latency objective.
    std::uint32_t queuedOnTime = 0;
};

} // namespace ivyspar
