#pragma once

#include <string>
#include <vector>

#include "state/ids.h"
#include "state/irandom.h"
#include "state/load.h"
#include "state/member.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

struct RouteRequest
{
    ServiceName service;
    Rank rank;
    /// Daemons already tried for this call.
    std::vector<DaemonId> excluded;
    /// A suspect's: all requests of one fingerprint go to the same server, so that those which come
    /// at once crash one at most. Empty for others.
    Fingerprint fingerprint = {};
};

struct RouteCandidate
{
    DaemonId daemon;
    double score = 0; ///< Lower is better.
};

struct RouteChoice
{
    /// Empty when there is none; `reason` says why and `retryAfter` when to come back.
    DaemonId daemon;
    Reason reason = Reason::None;
    Duration retryAfter{ 0 };
    /// The candidates compared, for the decision log.
    std::vector<RouteCandidate> candidates;
    /// Why this one: `less-loaded`, `only-one`, `spill`, ….
    const char *why = "";
};

/// How an attempt at a daemon ended, as far as routing cares.
enum class RouteFeedback {
    Answered,
    UpstreamError, ///< The upstream answered 5xx; must not look like low load.
    Refused,
    Draining,
    Unreachable,
    TimedOut,
    Cancelled, ///< Says nothing of the daemon.
};

/// Chooses the daemon, and so the upstream, for an attempt. Plain object.
class IRouter
{
public:
    virtual ~IRouter() = default;

    /// The current members that are alive. A daemon that newly offers a service starts cold.
    virtual void setMembers(TimePoint now, const std::vector<Member> &members) = 0;
    virtual RouteChoice choose(TimePoint now, const RouteRequest &request, IRandom &random) = 0;
    /// An attempt was sent to the daemon.
    virtual void onSent(TimePoint now, const ServiceName &service, const DaemonId &daemon) = 0;
    /// The attempt ended. `latency` is from sending to the end.
    virtual void onEnd(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                       RouteFeedback feedback, Duration latency) = 0;
    /// A load report of the daemon arrived, with an answer or a probe.
    virtual void onLoad(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                        const LoadReport &load) = 0;
    /// The lowest rank that the service's gates admit, judged from recent reports; decays with
    /// time. A call below it is refused at the entry before anything is spent.
    virtual Rank floor(TimePoint now, const ServiceName &service) const = 0;
};

} // namespace ivyspar
