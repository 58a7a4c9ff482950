#pragma once

#include <string>

#include "state/idecisionlog.h"

namespace ivyspar {

/// One line of `key=value`, without spaces in the values.
std::string toText(const Decision &decision);

} // namespace ivyspar
