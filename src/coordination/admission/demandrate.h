#pragma once

#include "state/time.h"

namespace ivyspar {

/// Exponentially weighted moving average of an amount per second.
class DemandRate
{
public:
    void add(TimePoint now, double amount, Duration averagingTime);
    /// Amount per second. Pass the same `averagingTime` as to `add`.
    double rate(TimePoint now, Duration averagingTime) const;

private:
    double m_sum = 0;
    TimePoint m_updatedAt;
    TimePoint m_startedAt;
    bool m_isStarted = false;
};

} // namespace ivyspar
