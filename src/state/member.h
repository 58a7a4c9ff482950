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
    /// Remaining time of the slow phase after its start, as it last reported; nothing if servers of
    /// this deployment do not report it.
    std::optional<Duration> coldLeft = {};
    /// Known only on the server's own host; not sent to other daemons.
    UpstreamVersion version = {};
};

/// A daemon as known to the other daemons. Of two records of one daemon, the one with the larger
/// (incarnation, counter) is newer.
struct Member
{
    DaemonId id;
    Incarnation incarnation;
    /// Grows with every change of the record within one incarnation.
    std::uint64_t counter = 0;
    DomainName domain;
    /// Address at which other daemons open links to it.
    Endpoint peerEndpoint;
    std::vector<UpstreamInfo> upstreams;
    /// The daemon is shutting down and accepts no new calls.
    bool leaving = false;
};

} // namespace ivyspar
