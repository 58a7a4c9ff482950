#pragma once

#include <cmath>
#include <cstdint>

#include "state/usage.h"

namespace ivyspar {

/// Moving average of the share of sends to one server that got no answer although a slot was free.
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
    /// Weight of one send: detects a failed server with 300 calls per second within 0.2 s, and
    /// distinguishes a loss of 2 % among 50 sends from none.
    static constexpr double WEIGHT = 0.02;

    double m_share = 0;
};

} // namespace ivyspar
