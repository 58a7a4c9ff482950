#pragma once

#include <cstdint>
#include <optional>

#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

enum class UpstreamPhase {
    Ready,
    Draining, ///< Takes no new work and will end.
    Gone, ///< Has said goodbye.
};

/// What a server says of itself to the daemon on its host.
struct UpstreamReport
{
    /// Empty when servers of this deployment do not name their runs.
    UpstreamId instance;
    /// Tells apart runs that follow each other under one name.
    UpstreamStart start;
    ServiceName service;
    UpstreamVersion version;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    /// Connections that the server accepts; 0 if it does not say.
    std::uint32_t connections = 0;
    UpstreamPhase phase = UpstreamPhase::Ready;
    /// Grows with each report of one run. Without meaning when `instance` is empty.
    std::uint64_t sequence = 0;
    /// How much longer the server is slow after its start; nothing if it does not say.
    std::optional<Duration> coldLeft;
};

} // namespace ivyspar
