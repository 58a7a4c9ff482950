#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/irouter.h"

namespace ivyspar {

/// Chooses the first of its daemons that is not excluded, and records the calls made to it.
class FakeRouter : public IRouter
{
public:
    std::vector<DaemonId> daemons;
    Rank lowest;
    std::vector<std::pair<DaemonId, RouteFeedback>> ends;
    int sent = 0;
    /// Whether choices name two candidates.
    bool hasCandidates = false;
    /// Fingerprints of the requests passed to `choose`.
    std::vector<Fingerprint> fingerprints;

    void setMembers(TimePoint /*now*/, const std::vector<Member> & /*members*/) override { }

    void setShares(const SharesByService & /*shares*/) override { }

    RouteChoice choose(TimePoint /*now*/, const RouteRequest &request,
                       IRandom & /*random*/) override
    {
        fingerprints.push_back(request.fingerprint);
        RouteChoice choice;
        choice.reason = Reason::NoServer;
        if (hasCandidates) {
            choice.candidates = { { daemons.front(), 1 }, { daemons.back(), 2 } };
        }
        for (const DaemonId &daemon : daemons) {
            if (std::count(request.excluded.begin(), request.excluded.end(), daemon) == 0) {
                choice.daemon = daemon;
                choice.reason = Reason::None;
                break;
            }
        }
        return choice;
    }

    void onSent(TimePoint /*now*/, const ServiceName & /*service*/,
                const DaemonId & /*daemon*/) override
    {
        ++sent;
    }

    void onEnd(TimePoint /*now*/, const ServiceName & /*service*/, const DaemonId &daemon,
               RouteFeedback feedback, Duration /*latency*/, SpeedShare /*speed*/) override
    {
        ends.emplace_back(daemon, feedback);
    }

    void onLoad(TimePoint /*now*/, const ServiceName & /*service*/, const DaemonId & /*daemon*/,
                const LoadReport & /*load*/) override
    {
    }

    void onNotice(TimePoint /*now*/, const ServiceName & /*service*/, const DaemonId & /*daemon*/,
                  const UpstreamNotice & /*notice*/) override
    {
    }

    Rank floor(TimePoint /*now*/, const ServiceName & /*service*/) const override { return lowest; }
};

} // namespace ivyspar
