#pragma once

#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

/// Load of the processor of a host, reported as the load of its service.
///
/// A daemon next to a service that makes many calls forwards all of them and gets only a part of a
/// processor for it. Once that part is used up, calls wait unread, call trees take seconds, callers
/// retry, and the daemon stays overloaded while every server has free slots. Entry daemons know
/// only the load of services; an overloaded daemon therefore reports a load above its capacity, and
/// they admit fewer requests that lead here. Holds no clock, socket or thread.
class ProcessorLoad
{
public:
    /// A call arrived. `admittedShare`: share of such requests that its entry daemon admits. `lag`:
    /// how late the call was read.
    void onArrival(TimePoint now, DemandShare admittedShare, Duration lag);
    /// Demand over capacity, including the demand that entry daemons refuse. 0 while the daemon
    /// keeps up.
    DemandLoad load() const;

private:
    /// Mean number of requests that one admitted request represents.
    double m_demandPerArrival = 1;
    /// Moving average of the lag, in µs.
    double m_lag = 0;
    TimePoint m_updatedAt;
    TimePoint m_overloadedAt = TimePoint::min();
    bool m_isOverloaded = false;
};

} // namespace ivyspar
