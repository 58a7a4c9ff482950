#pragma once

#include "state/ids.h"
#include "state/load.h"
#include "state/time.h"
#include "state/usage.h"

namespace ivyspar {

/// Learns what this host asks of each service. Traffic thread only.
class ICallDemand
{
public:
    virtual ~ICallDemand() = default;

    /// A caller or an upstream of this host makes a call. `admittedShare`: share of such requests
    /// that entries admit.
    virtual void onCall(const ServiceName &service, DemandShare admittedShare) = 0;
    /// A server of that speed answered a call, for which it used a slot for this time.
    virtual void onAnswer(const ServiceName &service, Duration slotTime, SpeedShare speed) = 0;
};

} // namespace ivyspar
