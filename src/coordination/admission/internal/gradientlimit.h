#pragma once

#include "coordination/admission/iconcurrencylimit.h"
#include "coordination/admission/internal/limitrange.h"

namespace ivyspar {

/// Adjusts the limit by the ratio of the long-term to the recent mean service time: an increasing
/// service time is treated as a sign of queueing in the upstream.
class GradientLimit : public IConcurrencyLimit
{
public:
    GradientLimit(double initialShare, double minShare);

    void onSample(TimePoint now, const LimitSample &sample) override;
    void setCeiling(std::uint32_t ceiling) override;
    std::uint32_t limit() const override;

private:
    LimitRange m_range;
    /// Recent and long-term mean service time, in µs.
    double m_short = 0;
    double m_long = 0;
};

} // namespace ivyspar
