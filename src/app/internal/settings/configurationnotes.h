#pragma once

#include <string>
#include <vector>

#include "state/configuration.h"

namespace ivyspar {

/// Returns what an operator should know about a valid configuration, a line each. None of it is an
/// error, as the operator may be in the middle of a change.
std::vector<std::string> notesOf(const Configuration &configuration);

} // namespace ivyspar
