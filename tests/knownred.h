#pragma once

#include <string>

namespace ivyspar {

/// Leaves out the tests that the file lists, each at the start of a line as `Group.Name:`, and
/// prints them. A file that is not there lists none.
void excludeKnownRedTests(const std::string &path);

} // namespace ivyspar
