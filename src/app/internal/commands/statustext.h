#pragma once

#include <string>

#include "state/result.h"

namespace ivyspar {

/// A daemon's status (JSON) as human-readable, indented lines. Fails with `InvalidArgument` if it
/// is not a JSON object.
RetVal<std::string> toStatusText(const std::string &json);

} // namespace ivyspar
