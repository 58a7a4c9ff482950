#pragma once

#include "state/time.h"

namespace ivyspar {

/// Amount per second, averaged with weights that fall exponentially with age.
class DemandRate
{
public:
    void add(TimePoint now, double amount, Duration averagingTime);
    /// Per second.
    double rate(TimePoint now, Duration averagingTime) const;

private:
    double m_sum = 0;
    TimePoint m_at;
    TimePoint m_since;
    bool m_isStarted = false;
};

} // namespace ivyspar
