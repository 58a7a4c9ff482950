#pragma once

#include <string>

#include "state/result.h"

namespace ivyspar {

/// A daemon's status (JSON) as indented lines for people. Fails with `InvalidArgument` if it is no
/// JSON object.
RetVal<std::string> toStatusText(const std::string &json);

} // namespace ivyspar
