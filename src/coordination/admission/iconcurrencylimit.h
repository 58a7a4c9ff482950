#pragma once

#include <cstdint>

#include "coordination/admission/igate.h"
#include "state/time.h"

namespace ivyspar {

/// What one ended call says about the upstream's capacity.
struct LimitSample
{
    CallResult result = CallResult::Success;
    /// From the start at the upstream to the end.
    Duration serviceTime{ 0 };
    /// Calls that ran, this one included, when it ended.
    std::uint32_t inFlight = 0;
};

/// Decides how many calls may run at a time. Plain object.
class IConcurrencyLimit
{
public:
    virtual ~IConcurrencyLimit() = default;

    virtual void onSample(TimePoint now, const LimitSample &sample) = 0;
    /// What the upstream announced: the limit never exceeds it.
    virtual void setCeiling(std::uint32_t ceiling) = 0;
    /// At least 1 unless the ceiling is 0.
    virtual std::uint32_t limit() const = 0;
};

} // namespace ivyspar
