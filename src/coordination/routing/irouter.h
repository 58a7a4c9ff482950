#pragma once

#include <string>
#include <vector>

#include "coordination/balance/domainshares.h"
#include "state/idecisionlog.h"
#include "state/ids.h"
#include "state/irandom.h"
#include "state/load.h"
#include "state/member.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

struct RouteRequest
{
    ServiceName service;
    Rank rank;
    /// Daemons already tried for this call.
    std::vector<DaemonId> excluded;
    /// Set for a suspect: all requests with the same fingerprint go to the same server, so that
    /// simultaneous ones crash at most one. Empty for others.
    Fingerprint fingerprint = {};
};

struct RouteCandidate
{
    DaemonId daemon;
    double score = 0; ///< Lower is better.
};

struct RouteChoice
{
    /// Empty if there is none; then `reason` says why and `retryAfter` when to retry.
    DaemonId daemon;
    Reason reason = Reason::None;
    Duration retryAfter{ 0 };
    /// The candidates compared, for the decision log.
    std::vector<RouteCandidate> candidates;
    /// Why this daemon was chosen: `less-loaded`, `only-one`, `spill`, ….
    const char *why = "";
    /// What a choice by share was based on, for the decision log.
    std::vector<DecisionInput> inputs;
};

/// How an attempt at a daemon ended, as far as it matters for routing.
enum class RouteFeedback {
    Answered,
    UpstreamError, ///< The upstream answered 5xx; must not look like low load.
    Refused,
    RateLimited, ///< Refused because the server's rate limit is used up; not the server's fault.
    Draining,
    Unreachable,
    TimedOut,
    Cancelled, ///< Says nothing about the daemon.
};

/// Chooses the daemon, and so the upstream, for an attempt. Plain object.
class IRouter
{
public:
    virtual ~IRouter() = default;

    /// Sets the members that are alive. A daemon that newly offers a known service starts cold.
    virtual void setMembers(TimePoint now, const std::vector<Member> &members) = 0;
    /// Sets the shares by which this failure domain divides its calls; for services that are not
    /// contained the own servers are used first.
    virtual void setShares(const SharesByService &shares) = 0;
    /// Chooses a daemon for an attempt, or says why there is none.
    virtual RouteChoice choose(TimePoint now, const RouteRequest &request, IRandom &random) = 0;
    /// Records that an attempt was sent to the daemon.
    virtual void onSent(TimePoint now, const ServiceName &service, const DaemonId &daemon) = 0;
    /// Records that the attempt ended. `latency` is the time from sending it to its end, `speed`
    /// that of the server at its end; 0 if it is not known.
    virtual void onEnd(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                       RouteFeedback feedback, Duration latency, SpeedShare speed) = 0;
    /// Records a load report of the daemon, which came with an answer or a probe.
    virtual void onLoad(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                        const LoadReport &load) = 0;
    /// Records what the server states about itself, which came with an answer.
    virtual void onNotice(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                          const UpstreamNotice &notice) = 0;
    /// The lowest rank that the service's gates admit according to recent reports; decays with
    /// time. A call below it is refused at the entry before any attempt is spent.
    virtual Rank floor(TimePoint now, const ServiceName &service) const = 0;
};

} // namespace ivyspar
