#pragma once

#include "coordination/quarantine/suspect.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "state/member.h"
#include "state/upstreamrun.h"

namespace ivyspar {

/// A server on this host that accepts calls, as it was last announced.
struct Announcement
{
    UpstreamInfo info;
    Endpoint endpoint;
    UpstreamRun run;
};

/// Returns the name of the announced run; that of its address if servers report no id.
inline UpstreamRunName nameOf(const Announcement &server)
{
    return server.run.isNamed() ? nameOf(server.run) : UpstreamRunName(server.endpoint.text());
}

inline bool isSameRun(const Announcement &a, const Announcement &b)
{
    return a.run == b.run && (a.run.isNamed() || a.endpoint == b.endpoint);
}

inline ServerKind kindOf(const Announcement &server)
{
    return ServerKind{ server.info.service, server.info.version };
}

} // namespace ivyspar
