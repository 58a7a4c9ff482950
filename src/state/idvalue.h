#pragma once

#include <cstdint>
#include <string>

namespace ivyspar {

/// Sixteen hexadecimal digits, as ids stand in headers and logs.
std::string toHex(std::uint64_t id);
/// Spreads ids evenly over [0, 1); the same id always gives the same number, at every daemon.
double toUnitInterval(std::uint64_t id);

} // namespace ivyspar
