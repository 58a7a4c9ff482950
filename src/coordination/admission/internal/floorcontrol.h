#pragma once

#include <cstdint>
#include <map>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

struct FloorOptions
{
    double margin = 0.1;
    Duration window{ 0 };
    std::uint32_t quietWindows = 1;
};

/// Finds the rank below which entries are to refuse calls, so that what still arrives is slightly
/// more than the gate can start. Works on a histogram of arrivals by priority and depth; within one
/// of these buckets ranks are hashes and thus spread evenly.
class FloorControl
{
public:
    explicit FloorControl(const FloorOptions &options);

    void onArrival(Rank rank);
    void onStart() { ++m_started; }
    /// A call was refused for want of capacity.
    void onCapacityRefusal() { ++m_capacityRefusals; }

    /// What waits, as a share of what may wait, and whether a slot is free.
    void setQueue(double fill, bool isIdle);
    /// Ends the window if it is over.
    void advance(TimePoint now, Duration serviceTime);
    /// When `advance` may change the floor next; `TimePoint::max()` if it is 0 and nothing came.
    TimePoint nextChange() const;
    Rank floor() const { return m_floor; }

private:
    struct Bucket
    {
        /// Arrivals at or above the floor in this window.
        std::uint32_t arrivals = 0;
        /// Arrivals per window, those that entries refused included.
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
    /// By the upper bits of the rank.
    std::map<std::uint32_t, Bucket> m_buckets;
    Rank m_floor;
    TimePoint m_windowEnd;
    bool m_isRunning = false;
    std::uint32_t m_started = 0;
    std::uint32_t m_capacityRefusals = 0;
    /// Mean of the starts in a window, and the weight of one window in it.
    double m_startRate = 0;
    double m_startWeight = 1;
    double m_queueFill = 0;
    bool m_isIdle = true;
    bool m_wasIdle = true;
    /// Steps of opening since the last excess.
    std::uint32_t m_quietWindows = 0;
};

} // namespace ivyspar
