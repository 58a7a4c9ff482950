#pragma once

#include "coordination/admission/demandrate.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

struct DemandEstimateOptions
{
    /// Share of the slots to allocate: at full utilization every call waits.
    double targetUtilization = 0.95;
    /// Time over which the demand is averaged. Entry daemons average over the same time, so that
    /// the shares they report stay consistent while the demand changes.
    Duration averagingTime = std::chrono::seconds(1);
    /// Time over which the occupancy is averaged.
    Duration occupancyAveragingTime = std::chrono::milliseconds(200);
    /// Occupancy, as calls at the gate over slots, at which no correction is needed. Above 1 the
    /// correction would aim for a queue, where a small increase in demand doubles the occupancy and
    /// the correction oscillates.
    double targetOccupancy = 1.0;
    /// Bounds of the deviation from `targetOccupancy`.
    double maxDeviationBelow = 0.5;
    double maxDeviationAbove = 0.5;
    /// Time in which the correction changes by a factor of e at a deviation of 1. Lowering is
    /// faster: a correction that overshot before the entry daemons reacted must not refuse callers
    /// for long.
    Duration raiseTime = std::chrono::milliseconds(1400);
    Duration lowerTime = std::chrono::milliseconds(800);
    double maxCorrection = 2;
};

/// Estimates the demand for a gate over its capacity, including the demand that entry daemons
/// refuse.
///
/// Each first attempt carries the share of such requests that its entry daemon admits, so an
/// arrival counts as 1 / share requests, and the estimate does not depend on how much is admitted.
/// Adjusting the share by the load alone would oscillate: what an entry daemon admits reaches this
/// gate only after its request has passed down the call tree.
///
/// A call tree that fails early does not make its remaining calls, so an overloaded gate sees less
/// than the demand. The occupancy of the gate corrects this slowly.
class DemandEstimate
{
public:
    explicit DemandEstimate(const DemandEstimateOptions &options);

    /// `calls` were queued or running since the previous call; `slots` is the capacity.
    void advance(TimePoint now, double calls, double slots);
    /// The first attempt of a call arrived, which occupies a slot for about `serviceTime`.
    void onArrival(TimePoint now, DemandShare admittedShare, Duration serviceTime);
    /// Demand over capacity, in thousandths; 0 without slots.
    DemandLoad load(TimePoint now, double slots) const;

private:
    DemandEstimateOptions m_options;
    /// Slot time, in µs per second.
    DemandRate m_demand;
    TimePoint m_updatedAt;
    bool m_isStarted = false;
    double m_occupancy = 0;
    double m_correction = 1;
};

} // namespace ivyspar
