#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "coordination/calls/ientrycall.h"
#include "coordination/quarantine/suspect.h"
#include "coordination/retries/iattemptledger.h"
#include "coordination/retries/iretrypolicy.h"
#include "coordination/routing/irouter.h"
#include "state/configuration.h"

namespace ivyspar {

/// The decisions that an entry call asks, shared by all calls of the entry.
struct EntryPolicies
{
    IRouter &router;
    IRetryPolicy &retries;
    IRandom &random;
};

struct EntryCallTerms
{
    RuleSpec rule;
    Rank rank;
    TimePoint deadline;
    /// A call without context: its single attempt hands nothing over and is never repeated.
    bool isSingleAttempt = false;
    /// The only daemon that may take the call; empty for any. Given by a ticket.
    DaemonId pinned;
    /// Whether the request may have crashed servers, asked before each attempt. Empty: it is no
    /// suspect.
    std::function<Assessment()> standing = {};
    /// Of the request, while it is a suspect.
    std::function<Fingerprint()> fingerprint = {};
};

class EntryCall : public IEntryCall
{
public:
    EntryCall(EntryPolicies policies, IAttemptLedger &ledger, EntryCallTerms terms);

    EntryActions start(TimePoint now) override;
    EntryActions onEnd(TimePoint now, AttemptIndex attempt, const AttemptEnd &end) override;
    EntryActions onTimer(TimePoint now) override;
    EntryActions onCallerGone(TimePoint now) override;
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
    };

    EntryActions refuse(TimePoint now, Reason reason, Duration retryAfter);
    EntryActions finish(TimePoint now, AttemptIndex attempt, Verdict verdict);
    /// Sends one more attempt, or says in `failure` why it cannot.
    std::optional<EntryAction> sendNext(TimePoint now, Verdict &failure);
    EntryActions followUp(TimePoint now, AttemptIndex attempt, const AttemptEnd &end);
    EntryActions redirectTo(TimePoint now, const DaemonId &holder);
    /// The server crashed: whether the call is to be repeated is seen a moment later.
    bool postpone(TimePoint now, AttemptIndex attempt, const AttemptEnd &end);
    EntryActions resume(TimePoint now);
    Assessment standing() const;
    std::optional<EntryAction> launch(TimePoint now, const DaemonId &target, const char *why);
    /// `isFromBelow`: the upstream answered with an error of its own or of a call that it made.
    bool mayRetry(TimePoint now, const AttemptEnd &end, bool isFromBelow);
    /// Attempts that the calls below this one need at the least.
    AttemptCount neededBelow() const;
    void settle(TimePoint now, Attempt &attempt, const AttemptEnd &end);
    void armHedge(TimePoint now);
    /// Whether the rule lets one more server be reached.
    bool mayReachAnother() const;
    bool hasOpenAttempt() const;

    EntryPolicies m_policies;
    IAttemptLedger &m_ledger;
    EntryCallTerms m_terms;
    std::vector<Attempt> m_attempts;
    std::vector<DaemonId> m_tried;
    std::optional<TimePoint> m_hedgeAt;
    /// The attempt whose server crashed, while its repetition is put off until then.
    struct Postponed
    {
        TimePoint until;
        AttemptIndex attempt;
        AttemptEnd end;
    };
    std::optional<Postponed> m_postponed;
    /// An attempt may have run without our knowing how it ended.
    bool m_mayHaveRun = false;
    /// Attempts that reached an upstream, or may have.
    std::uint32_t m_arrivals = 0;
    bool m_isRedirected = false;
    bool m_isFinished = false;
};

} // namespace ivyspar
