#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/routing/irouter.h"
#include "state/ids.h"
#include "state/load.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

/// Numbers the attempts that one entry makes of one call, from 0.
using AttemptIndex = StrongType<std::uint32_t, struct AttemptIndexTag>;

enum class EntryActionType {
    Send, ///< Send the attempt to `target`, handing over `granted`.
    Cancel, ///< Tell the target of the attempt that its answer is no longer needed.
    Finish, ///< Answer the caller, if `Answered` with the answer of `attempt`.
};

struct EntryAction
{
    EntryActionType type = EntryActionType::Send;
    AttemptIndex attempt;
    DaemonId target;
    AttemptCount granted;
    Verdict verdict;
    /// Why this target was chosen, for the decision log.
    const char *why = "";
    /// The candidates compared, for the decision log.
    std::vector<RouteCandidate> candidates;
    /// What a choice by share was based on, for the decision log.
    std::vector<DecisionInput> inputs;
    bool isHedge = false;
    /// If the gate of the target refuses the attempt for lack of capacity, it is sent to another
    /// server at once.
    bool mayGoElsewhere = false;
};
using EntryActions = std::vector<EntryAction>;

/// Outcome of an attempt, without the body of the answer.
struct AttemptResult
{
    Verdict verdict;
    AttemptCount unspent;
    LoadReport load;
    /// False if the daemon itself sent no report, for example because its link was lost.
    bool hasLoad = false;
    /// HTTP status of an `Answered` attempt.
    std::uint16_t status = 0;
    /// The call was sent to an upstream, or may have been.
    bool hasReachedUpstream = false;
    /// What the server states about itself; nothing if its daemon did not tell.
    std::optional<UpstreamNotice> notice;
    /// The daemon that keeps the key's result, if the upstream was not called for that reason.
    DaemonId holder;
};

/// State machine of one call at its entry: which attempts are sent where, and what the caller is
/// told. Plain object. After `Finish` the only events that it handles are late answers.
class IEntryCall
{
public:
    virtual ~IEntryCall() = default;

    /// Sends the first attempt. Does nothing if the caller has already disconnected.
    virtual EntryActions start(TimePoint now) = 0;
    /// An attempt ended.
    virtual EntryActions onEnd(TimePoint now, AttemptIndex attempt,
                               const AttemptResult &result) = 0;
    /// Handles the deadline, a hedge or a postponed retry; to be called at `nextTimer` or later.
    virtual EntryActions onTimer(TimePoint now) = 0;
    /// The caller disconnected.
    virtual EntryActions onCallerGone(TimePoint now) = 0;
    /// The daemon is about to exit, and no later answer could be delivered.
    virtual EntryActions onStop(TimePoint now) = 0;
    virtual TimePoint nextTimer() const = 0;
    virtual bool isFinished() const = 0;
    /// Number of attempts sent.
    virtual std::uint32_t attempts() const = 0;
};

} // namespace ivyspar
