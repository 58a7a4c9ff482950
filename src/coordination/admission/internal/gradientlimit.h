#pragma once

#include "coordination/admission/iconcurrencylimit.h"
#include "coordination/admission/internal/limitrange.h"

namespace ivyspar {

/// Compares the recent service time with its long-term mean and lowers the limit by their ratio:
/// calls that take longer than they used to are taken as a sign of queueing in the upstream.
class GradientLimit : public IConcurrencyLimit
{
public:
    GradientLimit(double initialShare, double minShare);

    void onSample(TimePoint now, const LimitSample &sample) override;
    void setCeiling(std::uint32_t ceiling) override;
    std::uint32_t limit() const override;

private:
    LimitRange m_range;
    /// Means of the service time, in µs.
    double m_short = 0;
    double m_long = 0;
};

} // namespace ivyspar
