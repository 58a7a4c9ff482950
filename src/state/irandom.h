#pragma once

#include <cstdint>

namespace ivyspar {

/// Source of random numbers; seeded in tests so that runs are reproducible.
class IRandom
{
public:
    virtual ~IRandom() = default;

    /// A number that is evenly distributed over all 64-bit values.
    virtual std::uint64_t next() = 0;

    /// A number in [0, bound); `bound` is at least 1.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// A number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

} // namespace ivyspar
