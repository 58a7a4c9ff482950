#pragma once

#include <string>

namespace ivyspar {

/// Removes the tests listed in the file from the current test registry and prints their names.
/// A test is listed as `Group.Name:` at the start of a line. A missing file lists no tests.
void excludeKnownRedTests(const std::string &path);

} // namespace ivyspar
