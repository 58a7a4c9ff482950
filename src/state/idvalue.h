#pragma once

#include <cstdint>
#include <string>

namespace ivyspar {

/// Sixteen hexadecimal digits, the format of ids in headers and logs.
std::string toHex(std::uint64_t id);
/// Hashes an id to a number that is evenly distributed over [0, 1) and the same at every daemon.
double toUnitInterval(std::uint64_t id);

} // namespace ivyspar
