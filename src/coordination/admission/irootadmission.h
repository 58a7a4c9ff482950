#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "state/ids.h"
#include "state/member.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

/// Where a caller's request leads.
struct RootTarget
{
    RuleName rule;
    ServiceName service;
    Priority priority;
};

/// How a request that was let in ended.
enum class RootResult {
    Success, ///< Answered, with all its calls.
    Failure,
    Ignored, ///< It tells nothing of the services: its caller left, or no server was reached.
};

/// What the end of a request tells. `status` counts if it was answered.
RootResult rootResultOf(const Verdict &verdict, std::uint16_t status);

/// What a decision was based on, for the logs.
struct AdmissionBasis
{
    /// Whether the rule's tree is known; if not, `window` decides, else `share`.
    bool isKnown = false;
    std::uint32_t inFlight = 0;
    double window = 0;
    /// Of the usual arrivals, the share that fits into `bottleneck`; empty if no service is known.
    double share = 0;
    ServiceName bottleneck;
    /// Of the requests, the share that is worth to begin by what the services of the tree lose.
    double lossAdmittedShare = 1;
    /// Its whole demand over what it can take, and how long ago that was told.
    double load = 0;
    Duration loadAge{ 0 };
};

/// Decides at the entry whether a caller's request is let in, by what its whole call tree costs
/// each service and by what these services can take. Plain object.
///
/// A request that will lose one of its calls four hops down costs all the services above before it
/// fails. What a tree costs is learnt from the answers, which carry it up.
class IRootAdmission
{
public:
    virtual ~IRootAdmission() = default;

    /// Which daemons work, and with which servers.
    virtual void setMembers(const std::vector<Member> &members) = 0;
    /// A request arrived. False: it is to be refused before anything is spent.
    virtual bool admit(TimePoint now, const RootTarget &target) = 0;
    /// Which share of such requests is let in here now. Goes with the request, so that the services
    /// of its tree know what demand it stands for.
    virtual DemandShare admittedShare(TimePoint now, const RootTarget &target) const = 0;
    virtual AdmissionBasis basis(TimePoint now, const RootTarget &target) const = 0;
    /// An attempt of a request ended; `isComplete` when all its calls were made.
    virtual void onAttemptEnd(TimePoint now, const RootTarget &target, const TreeUsage &usage,
                              bool isComplete) = 0;
    /// A request that was let in is over. To be called once for each.
    virtual void onRequestEnd(const RootTarget &target, RootResult result) = 0;
};

struct RootAdmissionOptions
{
    /// Time over which the demand is averaged, the same as at the gates.
    Duration demandAveragingTime = std::chrono::seconds(1);
    /// Time for which requests may be saved up: chance brings some together without more demand.
    Duration burst = std::chrono::milliseconds(200);
    /// Requests of a rule that may be saved up at least.
    double minBurst = 2;
    /// A load that a service told is believed for this time …
    Duration loadHold = std::chrono::milliseconds(1000);
    /// … and then falls to nothing within this time.
    Duration loadDecay = std::chrono::seconds(1);
    /// Weight of one answer in the cost of a rule's tree.
    double costWeight = 0.05;
    /// A service that a smaller share of a rule's requests reaches does not hold the others up: a
    /// call may have been booked to the wrong request.
    double minReachedShare = 0.25;
    /// A rule is known after this many whole answers. Until then only a few of its requests are let
    /// in at a time, more with each whole answer and half with each failure: entries that start
    /// together, after a power failure, would otherwise let in all that comes, no tree would
    /// be whole, and nothing would be learnt from them.
    std::uint32_t minTreeSamples = 8;
    /// The first window is this entry's part of the slots of the bottleneck service, to which the
    /// rule may lead, and at least this.
    double initialWindow = 2;
    double minWindow = 1;
    /// An entry that knows of fewer daemons takes no larger part: it may just not know the others.
    std::size_t minDaemons = 16;
    /// Weight of one report in the load of a service: its servers report in turn.
    double loadWeight = 0.1;
    /// What was told before counts less by a factor of e after this time, however few reports come.
    Duration loadAveragingTime = std::chrono::milliseconds(250);
    /// Off: rules of one priority get equal shares of a service, whatever their requests cost it.
    bool hasFairShares = true;
    /// Off: trees are begun however few of them can end whole.
    bool hasLossBasedAdmission = true;
    /// Repeats for each call that all daemons together may send to a service.
    double retryRatio = 0;
};

std::unique_ptr<IRootAdmission> makeRootAdmission(const RootAdmissionOptions &options = {});

} // namespace ivyspar
