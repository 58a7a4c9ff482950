#pragma once

#include <cstdint>
#include <map>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

struct FloorOptions
{
    /// Share of refusals for lack of capacity, relative to starts, that does not raise the floor.
    double margin = 0.1;
    Duration window{ 0 };
    std::uint32_t quietWindows = 1;
};

/// Determines the rank below which entry daemons refuse calls, so that arrivals slightly exceed
/// what the gate can start. Uses a histogram of arrivals by priority and depth; within a bucket
/// ranks are hashes and thus uniformly distributed.
class FloorControl
{
public:
    explicit FloorControl(const FloorOptions &options);

    void onArrival(Rank rank);
    void onStart() { ++m_started; }
    /// A call was refused for lack of capacity.
    void onCapacityRefusal() { ++m_capacityRefusals; }

    /// `fill`: queue length divided by its maximum. `isIdle`: a slot is free and the queue is
    /// empty.
    void setQueue(double fill, bool isIdle);
    /// Ends the window if it is over.
    void advance(TimePoint now, Duration serviceTime);
    /// Time of the next change by `advance`; `TimePoint::max()` if the floor is 0 and nothing was
    /// refused.
    TimePoint nextChange() const;
    Rank floor() const { return m_floor; }

private:
    struct Bucket
    {
        /// Arrivals at or above the floor in this window.
        std::uint32_t arrivals = 0;
        /// Estimated arrivals per window, including those that entry daemons refuse.
        double rate = 0;
    };

    double visibleShare(std::uint32_t bucket) const;
    void endWindow();
    double margin() const;
    double targetVolume() const;
    void lowerFloor();
    void updateRates();
    double volumeAboveFloor() const;
    Rank floorForVolume(double volume) const;

    FloorOptions m_options;
    /// Keyed by the upper bits of the rank.
    std::map<std::uint32_t, Bucket> m_buckets;
    Rank m_floor;
    TimePoint m_windowEnd;
    bool m_isRunning = false;
    std::uint32_t m_started = 0;
    std::uint32_t m_capacityRefusals = 0;
    /// Mean number of starts per window, and the weight of one window in it.
    double m_startRate = 0;
    double m_startWeight = 1;
    double m_queueFill = 0;
    bool m_isIdle = true;
    bool m_wasIdle = true;
    /// Consecutive lowering steps since the floor was last raised.
    std::uint32_t m_quietWindows = 0;
};

} // namespace ivyspar
