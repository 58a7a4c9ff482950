#pragma once

#include <string>

#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// Parses a whole number with a unit (`us`, `ms`, `s`, `min` or `h`), such as `250ms`.
/// Fails with `InvalidArgument` on anything else, on a number without a unit, and on more than 366
/// days.
RetVal<Duration> parseDuration(const std::string &text);

/// The duration in the largest unit that divides it, in the format of `parseDuration`.
std::string toText(Duration duration);

} // namespace ivyspar
