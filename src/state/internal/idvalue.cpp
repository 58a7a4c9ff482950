#include "state/idvalue.h"

#include <cinttypes>
#include <cstdio>

namespace ivyspar {

std::string toHex(std::uint64_t id)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016" PRIx64, id);
    return text;
}

double toUnitInterval(std::uint64_t id)
{
    // Fibonacci hashing: the factor is 2^64 divided by the golden ratio.
    const std::uint64_t mixed = id * 0x9E3779B97F4A7C15ULL;
    return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

} // namespace ivyspar
