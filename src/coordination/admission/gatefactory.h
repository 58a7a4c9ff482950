#pragma once

#include <cstdint>
#include <memory>

#include "coordination/admission/igate.h"

namespace ivyspar {

enum class LimitKind {
    Fixed, ///< The announced capacity itself.
    Aimd,
    Gradient,
    Probing, ///< Lowered where this costs no throughput.
};

enum class QueueOrder {
    Fifo, ///< In order of arrival; the newest is refused when the queue is full.
    Rank, ///< Highest rank first; within one rank the newest first.
    Newest, ///< Highest priority first; within one priority the newest first.
};

/// Settings of a gate. Each policy can be switched off to measure what it is worth.
struct GateOptions
{
    /// Capacity until the upstream announces its own; 0 refuses all.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;

    LimitKind limit = LimitKind::Probing;
    /// Share of the announced capacity that a cold gate starts with.
    double initialShare = 0.5;
    /// The limit never falls below this share of the announced capacity.
    double minShare = 0.1;

    QueueOrder order = QueueOrder::Rank;
    /// Longest expected wait, as a multiple of the service time.
    double queueWait = 1.0;
    /// Calls that may wait however small the limit is.
    std::uint32_t minQueue = 4;
    /// No bound on the queue: the plain queue that overload control replaces.
    bool isQueueBounded = true;

    bool isDoomedDropped = true;
    /// A call is doomed when less than this share of the mean service time is left.
    double doomedShare = 1.0;

    bool hasFloor = true;
    /// The floor lets through this share more than the upstream takes, so that slots stay busy.
    double floorMargin = 0.1;
    /// Shortest time between two changes of the floor.
    Duration floorWindow = std::chrono::milliseconds(50);
    /// The floor opens fully after this many windows without a refusal for want of capacity.
    std::uint32_t floorQuietWindows = 5;

    /// For how long a call that timed out keeps its slot, as a multiple of the service time.
    double timedOutHold = 0.25;
    /// As `timedOutHold`, for a call that was cancelled after its start.
    double cancelledHold = 0.25;
    /// Upper bound of both.
    Duration maxHold = std::chrono::milliseconds(500);

    /// Refused callers are spread over [shortest, 2 × shortest).
    Duration retryAfter = std::chrono::milliseconds(200);
    /// Service time assumed before the first sample.
    Duration assumedServiceTime = std::chrono::milliseconds(20);
};

std::unique_ptr<IGate> makeGate(const GateOptions &options);

} // namespace ivyspar
