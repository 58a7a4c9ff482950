#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "coordination/calls/ientrycall.h"
#include "coordination/quarantine/suspect.h"
#include "coordination/retries/iattemptbudget.h"
#include "coordination/retries/iretrypolicy.h"
#include "coordination/routing/irouter.h"
#include "state/configuration.h"

namespace ivyspar {

/// Policies that an entry call consults, shared by all calls of the entry.
struct EntryPolicies
{
    IRouter &router;
    IRetryPolicy &retries;
    IRandom &random;
};

struct EntryCallOptions
{
    RuleSpec rule;
    Rank rank;
    TimePoint deadline;
    /// For a call without context: its single attempt hands over no attempts and is never retried.
    bool isSingleAttempt = false;
    /// The only daemon that may run the call, given by a ticket; empty for any.
    DaemonId pinned;
    /// Returns whether the request may have crashed servers; called before each attempt. Empty for
    /// a request that is no suspect.
    std::function<Assessment()> assess = {};
    /// Returns the fingerprint of the request while it is a suspect.
    std::function<Fingerprint()> fingerprint = {};
};

class EntryCall : public IEntryCall
{
public:
    EntryCall(EntryPolicies policies, IAttemptBudget &budget, EntryCallOptions options);

    EntryActions start(TimePoint now) override;
    EntryActions onEnd(TimePoint now, AttemptIndex attempt, const AttemptResult &result) override;
    EntryActions onTimer(TimePoint now) override;
    EntryActions onCallerGone(TimePoint now) override;
    EntryActions onStop(TimePoint now) override;
    TimePoint nextTimer() const override;
    bool isFinished() const override { return m_isFinished; }
    std::uint32_t attempts() const override;

private:
    struct Attempt
    {
        DaemonId target;
        AttemptCount granted;
        TimePoint sentAt;
        bool isOpen = true;
        bool isHedge = false;
        bool mayGoElsewhere = false;
    };

    EntryActions refuse(TimePoint now, Reason reason, Duration retryAfter);
    EntryActions finish(TimePoint now, AttemptIndex attempt, Verdict verdict);
    /// Sends one more attempt, or sets `failure` to the reason why it cannot.
    std::optional<EntryAction> sendNext(TimePoint now, Verdict &failure);
    EntryActions handleFailure(TimePoint now, AttemptIndex attempt, const AttemptResult &result);
    EntryActions redirectTo(TimePoint now, const DaemonId &holder);
    /// After a crash of the server, postpones the decision on a retry. False if none is possible.
    bool postponeRetry(TimePoint now, AttemptIndex attempt, const AttemptResult &result);
    EntryActions resumeRetry(TimePoint now);
    /// Whether a gate's refusal holds for the servers of all gates.
    bool isKeptEverywhere(const Verdict &verdict) const;
    Assessment assess() const;
    std::optional<EntryAction> sendTo(TimePoint now, const DaemonId &target, const char *why);
    /// `isUpstreamError`: the upstream answered with an error of its own or of an inner call.
    bool mayRetry(TimePoint now, const AttemptResult &result, bool isUpstreamError);
    /// Least number of attempts that the inner calls of this call need.
    AttemptCount neededForInnerCalls() const;
    /// Closes the attempt and reports its end to the budget and the router.
    void recordEnd(TimePoint now, Attempt &attempt, const AttemptResult &result);
    void scheduleHedge(TimePoint now);
    /// Whether the rule allows one more server to be reached.
    bool mayReachAnother() const;
    /// Whether the first attempt, for which the router chose among these candidates, may be refused
    /// by its gate in favour of another server.
    bool mayGoElsewhere(const std::vector<RouteCandidate> &candidates) const;
    bool hasOpenAttempt() const;

    EntryPolicies m_policies;
    IAttemptBudget &m_budget;
    EntryCallOptions m_options;
    std::vector<Attempt> m_attempts;
    std::vector<DaemonId> m_tried;
    std::optional<TimePoint> m_hedgeAt;
    /// The attempt whose server crashed, while its retry is postponed.
    struct Postponed
    {
        TimePoint until;
        AttemptIndex attempt;
        AttemptResult result;
    };
    std::optional<Postponed> m_postponed;
    /// An attempt may have run and its outcome is unknown.
    bool m_mayHaveRun = false;
    /// Attempts that reached an upstream, or may have.
    std::uint32_t m_upstreamAttempts = 0;
    bool m_isRedirected = false;
    bool m_isFinished = false;
};

} // namespace ivyspar
