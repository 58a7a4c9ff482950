#pragma once

#include "state/time.h"

namespace ivyspar {

/// Time weighted with the speed of a server. The difference of two readings is the work, in µs at
/// the usual speed, that a call of that duration consisted of. Plain object.
class WorkClock
{
public:
    /// The server works at that speed, relative to its usual one, from `now` on.
    void setSpeed(TimePoint now, double speed)
    {
        m_work = workAt(now);
        m_speed = speed;
        m_setAt = now;
    }
    double workAt(TimePoint now) const
    {
        return m_work + m_speed * static_cast<double>((now - m_setAt).count());
    }

private:
    double m_work = 0;
    double m_speed = 1;
    TimePoint m_setAt;
};

} // namespace ivyspar
