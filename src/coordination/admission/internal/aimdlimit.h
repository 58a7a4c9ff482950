#pragma once

#include "coordination/admission/iconcurrencylimit.h"
#include "coordination/admission/internal/limitrange.h"

namespace ivyspar {

/// Additive increase, multiplicative decrease. The limit falls only when the upstream refuses calls
/// for lack of capacity or calls time out; long service times alone do not lower it.
class AimdLimit : public IConcurrencyLimit
{
public:
    AimdLimit(double initialShare, double minShare);

    void onSample(TimePoint now, const LimitSample &sample) override;
    void setCeiling(std::uint32_t ceiling) override;
    std::uint32_t limit() const override;

private:
    void grow(const LimitSample &sample);
    void shrink(TimePoint now, Duration serviceTime);

    LimitRange m_range;
    bool m_isWarm = false;
    TimePoint m_nextDecrease;
};

} // namespace ivyspar
