#pragma once

#include <cstdint>
#include <memory>

#include "coordination/admission/igate.h"

namespace ivyspar {

enum class LimitKind {
    Fixed, ///< Always the announced capacity.
    Aimd, ///< Additive increase, multiplicative decrease.
    Gradient, ///< By the ratio of the long-term to the recent mean service time.
    Probing, ///< Lowered by trials, where this costs no throughput.
};

enum class QueueOrder {
    Fifo, ///< In order of arrival; a full queue refuses the newest call.
    Rank, ///< Highest rank first; newest first within a rank.
    Newest, ///< Highest priority first; newest first within a priority.
    /// As `Rank` for calls without an objective. Others: highest priority first, then inner calls,
    /// then those that can still meet their objective, least slack first. See
    /// docs/design/call-order.md.
    Objective,
};

/// Settings of a gate. Each policy can be disabled to measure its effect.
struct GateOptions
{
    /// Capacity until the upstream announces its own; 0 refuses all calls.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    LimitKind limit = LimitKind::Probing;
    /// Initial limit, as a share of the announced capacity.
    double initialShare = 0.5;
    /// Lower bound of the limit, as a share of the announced capacity.
    double minShare = 0.1;

    QueueOrder order = QueueOrder::Objective;
    /// Maximum queue length, as a multiple of the limit: bounds the expected wait in service times.
    double queueWait = 1.0;
    /// Calls that may wait regardless of the limit.
    std::uint32_t minQueue = 4;
    /// False: an unbounded queue, the baseline that overload control is compared with.
    bool isQueueBounded = true;

    /// Refuses queued calls that can no longer complete before their deadline.
    bool isDoomedDropped = true;
    /// A call is doomed when less than this share of the mean service time remains before its
    /// deadline.
    double doomedShare = 1.0;

    /// Publishes a rank below which entry daemons refuse calls.
    bool hasFloor = true;
    /// Share of calls admitted above what the upstream starts, so that its slots stay busy.
    double floorMargin = 0.1;
    /// Minimum time between two changes of the floor.
    Duration floorWindow = std::chrono::milliseconds(50);
    /// The floor returns to 0 after this many windows without a refusal for lack of capacity.
    std::uint32_t floorQuietWindows = 5;

    /// How long a call that timed out keeps its slot, as a multiple of the mean service time.
    double timedOutHold = 0.25;
    /// As `timedOutHold`, for a call that was cancelled after its start.
    double cancelledHold = 0.25;
    /// Upper bound of both hold times.
    Duration maxHold = std::chrono::milliseconds(500);

    /// Minimum retry delay; refused callers get delays spread over [retryAfter, 2 × retryAfter).
    Duration retryAfter = std::chrono::milliseconds(200);
    /// Mean service time assumed before the first sample.
    Duration assumedServiceTime = std::chrono::milliseconds(20);
};

std::unique_ptr<IGate> makeGate(const GateOptions &options);

} // namespace ivyspar
