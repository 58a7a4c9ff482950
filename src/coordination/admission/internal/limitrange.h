#pragma once

#include <algorithm>
#include <cstdint>

namespace ivyspar {

/// A limit between a minimum share of the announced capacity and all of it.
class LimitRange
{
public:
    LimitRange(double initialShare, double minShare)
        : m_initialShare(initialShare)
        , m_minShare(minShare)
    {
    }

    /// The first ceiling sets the initial value; later ones only bound it.
    void setCeiling(std::uint32_t ceiling)
    {
        if (m_ceiling == 0) {
            m_value = m_initialShare * ceiling;
        }
        m_ceiling = ceiling;
        set(m_value);
    }

    void set(double value)
    {
        const double lowest = std::min<double>(m_ceiling, std::max(1.0, m_minShare * m_ceiling));
        m_value = std::clamp<double>(value, lowest, m_ceiling);
    }

    double value() const { return m_value; }
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_value); }

private:
    double m_initialShare;
    double m_minShare;
    std::uint32_t m_ceiling = 0;
    double m_value = 0;
};

} // namespace ivyspar
