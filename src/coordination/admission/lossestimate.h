#pragma once

#include <cmath>
#include <cstdint>

#include "state/usage.h"

namespace ivyspar {

/// Share of the sends to one server that brought no answer though there was a slot for them.
class LossEstimate
{
public:
    void add(bool isLost) { m_share += WEIGHT * ((isLost ? 1.0 : 0.0) - m_share); }
    LossShare share() const
    {
        return LossShare(static_cast<std::uint32_t>(
            std::lround(m_share * static_cast<double>(WHOLE_LOSS.value()))));
    }

private:
    /// Of one send: a server with 300 calls a second is found out in 0.2 s, and a share of 2 %
    /// among 50 sends is told apart from none.
    static constexpr double WEIGHT = 0.02;

    double m_share = 0;
};

} // namespace ivyspar
