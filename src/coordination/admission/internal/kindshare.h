#pragma once

#include "state/time.h"

namespace ivyspar {

/// Counts the recent calls of one kind that a gate started or refused; older ones count less.
class KindShare
{
public:
    void onStart(TimePoint now);
    void onRefusal(TimePoint now);
    double starts(TimePoint now) const { return m_starts * decay(now); }
    /// Calls that were started or refused.
    double decided(TimePoint now) const { return m_decided * decay(now); }
    /// Part of the decided calls that was started; 1 if there were none.
    double share() const { return m_decided > 0 ? m_starts / m_decided : 1; }

private:
    double decay(TimePoint now) const;
    void advance(TimePoint now);

    double m_starts = 0;
    double m_decided = 0;
    TimePoint m_updatedAt;
};

} // namespace ivyspar
