#pragma once

#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

/// What the processor of a host can take, told as the load of its service.
///
/// A daemon beside a service that makes many calls passes all of these on, and gets a part of a
/// processor for it. When that is used up, calls wait unread, trees take seconds, their callers
/// come back, and the daemon stays overrun while each server has free slots. Entries know the load
/// of services alone; so a daemon that is behind tells a full one, and they begin fewer trees that
/// lead here. Plain object.
class ProcessorLoad
{
public:
    /// A call arrived; entries let in this share of such requests. `lag`: how late it was read.
    void onArrival(TimePoint now, DemandShare admittedShare, Duration lag);
    /// The whole demand, that which entries refused included, over what can be taken. Zero while
    /// the daemon keeps up.
    DemandLoad load() const;

private:
    /// How many requests one that was let in stands for, in the mean.
    double m_demandPerArrival = 1;
    /// Mean lag, in µs.
    double m_lag = 0;
    TimePoint m_at;
    TimePoint m_overloadedAt = TimePoint::min();
    bool m_isOverloaded = false;
};

} // namespace ivyspar
