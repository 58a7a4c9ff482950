#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"
#include "state/load.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

struct GateRequest
{
    CallId id;
    Rank rank;
    /// The moment by which the caller must have its answer.
    TimePoint deadline;
    /// Of requests like the caller's, which share its entry lets in; 0 in a repeated attempt.
    DemandShare admittedShare;
};

enum class GateVerb {
    Start, ///< Send the call to the upstream now.
    Refuse, ///< Answer the call: it was not run.
};

/// What is to be done with a call, now.
struct GateAction
{
    GateVerb verb = GateVerb::Start;
    CallId id;
    /// For `Refuse`.
    Verdict verdict;
};
using GateActions = std::vector<GateAction>;

enum class CallResult {
    Success,
    Failure, ///< The upstream answered with a server error.
    Overloaded, ///< The upstream refused for want of capacity.
    TimedOut, ///< Given up after the start: the work may still occupy the upstream.
    Cancelled,
};

enum class CancelEffect {
    NotStarted, ///< It was waiting and is now forgotten.
    Started, ///< It is running; `finish` is still owed.
    Unknown, ///< No such call.
};

/// Admission to one upstream, at its own host: bounds concurrency, orders what waits by rank and
/// refuses what would not be done in time. Plain object without clock, socket or thread.
class IGate
{
public:
    virtual ~IGate() = default;

    /// A call arrives. The actions may concern other calls as well (one of lower rank gives way).
    /// If none concerns `request.id`, the call waits.
    virtual GateActions offer(TimePoint now, const GateRequest &request) = 0;
    /// A started call ended.
    virtual GateActions finish(TimePoint now, CallId id, CallResult result,
                               Duration serviceTime) = 0;
    virtual CancelEffect cancel(TimePoint now, CallId id) = 0;
    /// Drops what became doomed and lets the floor decay. To be called at `nextTick` or later.
    virtual GateActions tick(TimePoint now) = 0;
    /// When the oldest wait is over or the floor changes next; `TimePoint::max()` when idle.
    virtual TimePoint nextTick() const = 0;
    /// The announced capacity of the upstream changed.
    virtual GateActions setCapacity(TimePoint now, std::uint32_t slots,
                                    std::uint32_t connections) = 0;
    /// Refuses all new calls from now on, with reason `Draining`; those waiting and running go on.
    virtual void setDraining(bool draining) = 0;
    virtual LoadReport load(TimePoint now) const = 0;
};

} // namespace ivyspar
