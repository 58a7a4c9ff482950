#pragma once

#include <string>

#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// Reads a whole number with its unit: `us`, `ms`, `s`, `min` or `h`, such as `250ms`.
/// Fails with `InvalidArgument` on anything else, also on a number without a unit.
RetVal<Duration> parseDuration(const std::string &text);

/// The duration in the largest unit that divides it, in the form that `parseDuration` reads.
std::string toText(Duration duration);

} // namespace ivyspar
