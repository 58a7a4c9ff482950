#pragma once

#include <string>

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
    /// Distinguishes consecutive runs with the same id.
    UpstreamStart start = {};
};

/// Identifies the server's run by its id and start, or by its address if servers report no id.
inline UpstreamId runIdOf(const Announcement &server)
{
    if (server.instance.value().empty()) {
        return UpstreamId(server.endpoint.text());
    }
    if (server.start == UpstreamStart()) {
        return server.instance;
    }
    return UpstreamId(server.instance.value() + '@' + std::to_string(server.start.value()));
}

inline bool isSameRun(const Announcement &a, const Announcement &b)
{
    if (a.instance != b.instance || a.start != b.start) {
        return false;
    }
    return !a.instance.value().empty() || a.endpoint == b.endpoint;
}

inline ServerKind kindOf(const Announcement &server)
{
    return ServerKind{ server.info.service, server.info.version };
}

} // namespace ivyspar
