#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/admission/iaccountshares.h"
#include "state/ids.h"
#include "state/member.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

/// Rule, first service and priority of a root request, i.e. a request of a caller.
struct RootTarget
{
    RuleName rule;
    ServiceName service;
    Priority priority;
    /// Used in decisions only; unset where the rules have no client accounts.
    std::optional<AccountClaim> claim;
};

/// How an admitted request ended.
enum class RootResult {
    Success, ///< Answered without a server error.
    Failure,
    Ignored, ///< Not caused by the services: the caller left, or no server was reached.
};

/// Classifies the end of a request. `status` is the HTTP status and counts only if it was answered.
RootResult rootResultOf(const Verdict &verdict, std::uint16_t status);

/// Inputs of an admission decision, for the decision log.
struct AdmissionBasis
{
    /// Whether the cost of the call tree is known: `share` decides if so, otherwise `window` does.
    bool isKnown = false;
    std::uint32_t inFlight = 0;
    /// Maximum number of requests in flight.
    double window = 0;
    /// Share of the usual arrivals that fits into `bottleneck`, which is empty if no service is
    /// known.
    double share = 0;
    ServiceName bottleneck;
    /// Share of the requests worth starting, given the loss at the services of the call tree.
    double lossAdmittedShare = 1;
    /// Demand over capacity of the bottleneck, and the age of its last report.
    double load = 0;
    Duration loadAge{ 0 };
    /// Set if the last such request was decided by the share of its account.
    std::optional<AccountShareStatus> account;
    /// It was refused because its account used more than its share.
    bool isRefusedForAccount = false;
};

/// Decides at the entry daemon whether to admit a root request, from the cost of its call tree at
/// each service and the capacity of these services. Holds no clock, socket or thread.
///
/// A request that loses one of its calls four hops down has cost all services above before it
/// fails. The cost of a call tree is learned from the answers, which carry it back.
class IRootAdmission
{
public:
    virtual ~IRootAdmission() = default;

    /// Sets the current daemons with their servers.
    virtual void setMembers(const std::vector<Member> &members) = 0;
    /// Returns false if an arriving request must be refused before any work is spent on it.
    virtual bool admit(TimePoint now, const RootTarget &target) = 0;
    /// Share of such requests that this daemon currently admits. With a claim, call it right after
    /// the request was admitted. It is sent with the request, so that the services of the call tree
    /// can compute the demand behind it.
    virtual DemandShare admittedShare(TimePoint now, const RootTarget &target) const = 0;
    /// Inputs of the decisions about such requests; `share`, `lossAdmittedShare` and the account as
    /// of the last decision.
    virtual AdmissionBasis basis(TimePoint now, const RootTarget &target) const = 0;
    /// An attempt of a request ended. `isComplete`: all calls of its tree were made, so `usage` is
    /// a sample of the cost.
    virtual void onAttemptEnd(TimePoint now, const RootTarget &target, const TreeUsage &usage,
                              bool isComplete) = 0;
    /// An admitted request ended. Call exactly once for each.
    virtual void onRequestEnd(const RootTarget &target, RootResult result) = 0;
    /// Client accounts that compete for capacity; see `IAccountShares::statuses`.
    virtual std::vector<AccountShareStatus> accountShares(TimePoint now,
                                                          std::size_t count) const = 0;
    /// Number of client accounts with state.
    virtual std::size_t activeAccounts() const = 0;
};

struct RootAdmissionOptions
{
    /// Time over which the demand is averaged, the same as at the gates.
    Duration demandAveragingTime = std::chrono::seconds(1);
    /// Size of the token bucket, in time at the admitted rate: arrivals cluster by chance without
    /// more demand.
    Duration burst = std::chrono::milliseconds(200);
    /// Minimum size of the token bucket, in requests.
    double minBurst = 2;
    /// A reported load is kept for this time …
    Duration loadHold = std::chrono::milliseconds(1000);
    /// … and then decays to 0 within this time.
    Duration loadDecay = std::chrono::seconds(1);
    /// Weight of one answer in the cost of a call tree.
    double costWeight = 0.05;
    /// Services reached by a smaller share of the requests of a rule do not limit it: a call may
    /// have been attributed to the wrong request.
    double minReachedShare = 0.25;
    /// Complete answers after which the cost of a call tree is known. Until then a window limits
    /// the requests in flight; it grows with each success and halves with each failure. Otherwise
    /// entry daemons that restart together, as after a power failure, would admit everything, no
    /// call tree would complete, and no cost would be learned.
    std::uint32_t minTreeSamples = 8;
    /// Lower bound of the initial window of an unknown rule. The window is the share of this daemon
    /// in the slots of the service with the fewest slots, since the rule may lead there.
    double initialWindow = 2;
    /// Lower bound of the window after failures, in requests.
    double minWindow = 1;
    /// Minimum number of daemons among which those slots are divided: a daemon that knows fewer may
    /// just not have discovered the others.
    std::size_t minDaemons = 16;
    /// Weight of one report in the load of a service; the reports come from different servers.
    double loadWeight = 0.1;
    /// Earlier reports also decay by a factor of e in this time, however few reports arrive.
    Duration loadAveragingTime = std::chrono::milliseconds(250);
    /// False: rules of one priority get equal shares of a service, regardless of their cost.
    bool hasFairShares = true;
    /// False: accounts of one priority compete by arrivals.
    bool hasAccountShares = true;
    AccountSharesOptions accountShares;
    /// False: call trees are started however few of them can complete.
    bool hasLossBasedAdmission = true;
    /// Retry budget of all daemons together, as retries per call to a service.
    double retryRatio = 0;
};

std::unique_ptr<IRootAdmission> makeRootAdmission(const RootAdmissionOptions &options = {});

} // namespace ivyspar
