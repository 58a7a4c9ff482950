#pragma once

#include "coordination/admission/iconcurrencylimit.h"

namespace ivyspar {

/// A limit that always equals the announced capacity.
class FixedLimit : public IConcurrencyLimit
{
public:
    void onSample(TimePoint /*now*/, const LimitSample & /*sample*/) override { }
    void setCeiling(std::uint32_t ceiling) override { m_ceiling = ceiling; }
    std::uint32_t limit() const override { return m_ceiling; }

private:
    std::uint32_t m_ceiling = 0;
};

} // namespace ivyspar
