#pragma once

#include "coordination/admission/demandrate.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

struct DemandEstimateOptions
{
    /// Share of the slots that is given out: at the very limit each call waits.
    double targetUtilization = 0.95;
    /// Time over which the demand is averaged. Entries average over the same time, so that their
    /// part of the whole is right also while the demand changes.
    Duration averagingTime = std::chrono::seconds(1);
    /// Time over which the number of calls here is averaged.
    Duration occupancyAveragingTime = std::chrono::milliseconds(200);
    /// Calls here over slots, at which the estimate is taken for right. Above 1 it would seek a
    /// queue: there a little more demand doubles the calls here, and the correction swings.
    double targetOccupancy = 1.0;
    /// Occupancies that are further below and above count as these.
    double maxDeviationBelow = 0.5;
    double maxDeviationAbove = 0.5;
    /// Time in which the correction changes by a factor of e when the calls here are off by as many
    /// as there are slots; when there are too many, and when there are too few.
    /// What was raised too far, before the entries could follow, must not keep callers out for
    /// long.
    Duration raiseTime = std::chrono::milliseconds(1400);
    Duration lowerTime = std::chrono::milliseconds(800);
    double maxCorrection = 2;
};

/// Estimates the whole demand for a gate, that which entries refused included, over what the gate
/// can take.
///
/// Entries say with each call which share of such requests they let in, so each arrival stands for
/// 1 / share of them, and the demand that is found does not change when the entries let in more or
/// less. A share that is raised and lowered by the load alone swings: what an entry lets in now is
/// seen here only when its request has come down the call tree.
///
/// A tree that fails half way does not make the rest of its calls, so an overloaded gate sees less
/// than the demand. This is corrected slowly by how full the gate is.
class DemandEstimate
{
public:
    explicit DemandEstimate(const DemandEstimateOptions &options);

    /// `calls` have been here since the last time, `slots` can run at a time.
    void advance(TimePoint now, double calls, double slots);
    /// The first attempt of a call arrived; it takes a slot for about `serviceTime`.
    void onArrival(TimePoint now, DemandShare admittedShare, Duration serviceTime);
    DemandLoad load(TimePoint now, double slots) const;

private:
    DemandEstimateOptions m_options;
    /// In µs of slots.
    DemandRate m_demand;
    TimePoint m_at;
    bool m_isStarted = false;
    double m_occupancy = 0;
    double m_correction = 1;
};

} // namespace ivyspar
