#pragma once

#include "coordination/quarantine/suspect.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/member.h"

namespace ivyspar {

/// A server on this host that accepts calls, as it was last announced.
struct Announcement
{
    UpstreamInfo info;
    Endpoint endpoint;
    /// Id of the server's run; empty if servers do not report one.
    UpstreamId instance;
};

/// Id of the server's run, or its address if servers do not report one.
inline UpstreamId runIdOf(const Announcement &server)
{
    return server.instance.value().empty() ? UpstreamId(server.endpoint.text()) : server.instance;
}

inline ServerKind kindOf(const Announcement &server)
{
    return ServerKind{ server.info.service, server.info.version };
}

} // namespace ivyspar
