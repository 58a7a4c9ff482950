#pragma once

#include <cstdint>
#include <vector>

#include "coordination/routing/irouter.h"
#include "state/ids.h"
#include "state/load.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// Numbers the attempts that one entry makes of one call, from 0.
using AttemptIndex = StrongType<std::uint32_t, struct AttemptIndexTag>;

enum class EntryActionType {
    Send, ///< Send the attempt to `target`, handing over `granted`.
    Cancel, ///< Tell the target of the attempt that its answer is not wanted any more.
    Finish, ///< Answer the caller. With `Answered`, the answer of `attempt` is the one.
};

struct EntryAction
{
    EntryActionType type = EntryActionType::Send;
    AttemptIndex attempt;
    DaemonId target;
    AttemptCount granted;
    Verdict verdict;
    /// Why this target, for the decision log.
    const char *why = "";
    /// What the target was compared with.
    std::vector<RouteCandidate> candidates;
    bool isHedge = false;
};
using EntryActions = std::vector<EntryAction>;

/// What an attempt's answer says, without its body.
struct AttemptResult
{
    Verdict verdict;
    AttemptCount unspent;
    LoadReport load;
    /// False when the daemon itself gave no report, as when its link was lost.
    bool hasLoad = false;
    /// HTTP status of an `Answered` attempt.
    std::uint16_t status = 0;
    /// An upstream was sent the call, or may have been.
    bool hasReachedUpstream = false;
    /// The upstream was not asked, as the key's result is kept by this other daemon.
    DaemonId holder;
};

/// The course of one call at its entry: which attempts are sent where, and what the caller is told.
/// Plain object. After `Finish` it takes no more events but answers that come late.
class IEntryCall
{
public:
    virtual ~IEntryCall() = default;

    /// Does nothing if the caller has gone already.
    virtual EntryActions start(TimePoint now) = 0;
    virtual EntryActions onEnd(TimePoint now, AttemptIndex attempt,
                               const AttemptResult &result) = 0;
    /// Deadline or hedge time; to be called at `nextTimer` or later.
    virtual EntryActions onTimer(TimePoint now) = 0;
    virtual EntryActions onCallerGone(TimePoint now) = 0;
    virtual TimePoint nextTimer() const = 0;
    virtual bool isFinished() const = 0;
    /// Attempts sent from here.
    virtual std::uint32_t attempts() const = 0;
};

} // namespace ivyspar
