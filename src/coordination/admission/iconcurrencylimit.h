#pragma once

#include <cstdint>

#include "coordination/admission/igate.h"
#include "state/time.h"

namespace ivyspar {

/// One finished call, as a sample of the capacity of the upstream.
struct LimitSample
{
    CallResult result = CallResult::Success;
    /// From the start at the upstream to the end of the call.
    Duration serviceTime{ 0 };
    /// Calls in flight when it ended, including this one.
    std::uint32_t inFlight = 0;
};

/// Limits the number of concurrent calls. Holds no clock, socket or thread.
class IConcurrencyLimit
{
public:
    virtual ~IConcurrencyLimit() = default;

    virtual void onSample(TimePoint now, const LimitSample &sample) = 0;
    /// Sets the capacity that the upstream announced, the upper bound of the limit.
    virtual void setCeiling(std::uint32_t ceiling) = 0;
    /// Ends a trial of another limit, if one is running: the rate of calls is about to change for
    /// another reason than the trial.
    virtual void endTrial() { }
    /// Maximum number of concurrent calls; at least 1 unless the ceiling is 0.
    virtual std::uint32_t limit() const = 0;
};

} // namespace ivyspar
