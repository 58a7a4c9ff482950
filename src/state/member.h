#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "state/endpoint.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// A server that announced itself to the daemon on its host.
struct UpstreamInfo
{
    ServiceName service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool draining = false;
    /// How much longer it is slow after its start, when it last said so; nothing if servers of this
    /// deployment do not say.
    std::optional<Duration> coldLeft = {};
    /// Known beside the server only.
    UpstreamVersion version = {};
};

/// What the other daemons know of one daemon. Of two records of a daemon the one with the larger
/// (incarnation, counter) is newer.
struct Member
{
    DaemonId id;
    Incarnation incarnation;
    /// Grows with every change of this record within one incarnation.
    std::uint64_t counter = 0;
    DomainName domain;
    /// Where other daemons open links to it.
    Endpoint peerEndpoint;
    std::vector<UpstreamInfo> upstreams;
    /// The daemon takes no new work: it is about to stop.
    bool leaving = false;
};

} // namespace ivyspar
