#pragma once

#include "coordination/quarantine/suspect.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/member.h"

namespace ivyspar {

/// A server of this host that takes calls.
struct Announcement
{
    UpstreamInfo info;
    Endpoint endpoint;
    /// The run of the server; empty if servers do not name their runs.
    UpstreamId instance;
};

inline ServerKind kindOf(const Announcement &server)
{
    return ServerKind{ server.info.service, server.info.version };
}

} // namespace ivyspar
