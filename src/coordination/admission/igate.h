#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "state/ids.h"
#include "state/load.h"
#include "state/outcome.h"
#include "state/time.h"
#include "state/upstreamnotice.h"
#include "state/usage.h"

namespace ivyspar {

struct GateRequest
{
    CallId id;
    Rank rank;
    /// Time by which the caller needs its answer.
    TimePoint deadline;
    /// Share of the root requests of the same kind that their entry daemon admits; 0 in a retry.
    DemandShare admittedShare;
    /// Time by which the answer is needed for the root request to meet its latency objective;
    /// nothing if it has none.
    std::optional<TimePoint> objective = {};
    /// Rule of the call. Calls of one rule are of one kind.
    RuleName rule = {};
};

/// A call in the queue of a gate, and the basis of its place there.
struct QueuedCall
{
    GateRequest request;
    /// Latest start with which it is expected to meet its objective; nothing if it has none or
    /// objectives do not count here.
    std::optional<TimePoint> latestStart = {};
    /// It was started before more urgent calls, as its kind got much less than the others.
    bool isOwed = false;
};

/// Why a call was started or refused when it was.
struct GateOrderBasis
{
    /// Time until the latest start with which the call is expected to meet its objective; negative
    /// if that has passed, nothing if the call has no objective.
    std::optional<Duration> slack = {};
    /// As in `QueuedCall`.
    bool isOwed = false;
    /// For a refusal for lack of capacity: the call that is kept instead. 0 if there is none.
    CallId rival = {};
    /// The rival is of a higher priority and was submitted later.
    bool isDisplacedByPriority = false;
};

enum class GateVerb {
    Start, ///< Send the call to the upstream now.
    Refuse, ///< Answer that the call was not run.
};

/// Instruction to the owner of the gate, to be carried out immediately.
struct GateAction
{
    GateVerb verb = GateVerb::Start;
    CallId id;
    /// Set for `Refuse`.
    Verdict verdict;
    GateOrderBasis basis = {};
};
using GateActions = std::vector<GateAction>;

enum class CallResult {
    Success,
    Failure, ///< The upstream answered with a server error.
    Overloaded, ///< The upstream refused the call for lack of capacity.
    TimedOut, ///< Abandoned after its start; the upstream may still be working on it.
    Cancelled,
};

enum class CancelEffect {
    NotStarted, ///< It was queued and has been removed.
    Started, ///< It is running; `finish` must still be called.
    Unknown, ///< No such call.
};

/// Admission control for one upstream, on the host of the upstream: limits concurrency, orders
/// queued calls by urgency and refuses calls that cannot meet their deadline. Holds no clock,
/// socket or thread.
class IGate
{
public:
    virtual ~IGate() = default;

    /// Submits a new call. The returned actions may concern other calls too, e.g. a queued call of
    /// lower rank that is displaced. If no action concerns `request.id`, the call is queued.
    virtual GateActions offer(TimePoint now, const GateRequest &request) = 0;
    /// Reports the end of a started call. Unknown ids are ignored.
    virtual GateActions finish(TimePoint now, CallId id, CallResult result,
                               Duration serviceTime) = 0;
    virtual CancelEffect cancel(TimePoint now, CallId id) = 0;
    /// Refuses calls that became doomed, frees expired slots and updates the floor. Call at
    /// `nextTick` or later.
    virtual GateActions tick(TimePoint now) = 0;
    /// Time of the next change (doomed call, freed slot or floor); `TimePoint::max()` when idle.
    virtual TimePoint nextTick() const = 0;
    /// Updates the capacity that the upstream announced. Capacity 0 refuses all queued calls.
    virtual GateActions setCapacity(TimePoint now, std::uint32_t slots,
                                    std::uint32_t connections) = 0;
    /// Applies the rate limit that the upstream states; nothing if it states none. All that is sent
    /// to it counts: started calls do so by themselves, the rest by the two functions below.
    virtual GateActions setRateLimit(TimePoint now, std::optional<RequestRate> limit) = 0;
    /// Whether a started call may be sent once more now; counts it if so.
    virtual bool tryCountSend(TimePoint now) = 0;
    /// Counts a request that is sent in any case, such as a health check. Returns the time to wait
    /// before sending it.
    virtual Duration reserveSend(TimePoint now) = 0;
    /// While true, refuses new calls with `Reason::Draining`; queued and running calls continue.
    virtual void setDraining(bool draining) = 0;
    virtual LoadReport load(TimePoint now) const = 0;
    /// Number of queued calls that can still meet their objective.
    virtual std::uint32_t queuedOnTime() const = 0;
    /// Expected time from the start to the end of a call of that rule.
    virtual Duration expectedTime(const RuleName &rule) const = 0;
};

} // namespace ivyspar
