#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace ivyspar {

/// The lines that differ, in order: `-` for a line of `before`, `+` for one of `after`. At most
/// `maxLines`, and then a line that says how many more there are.
std::vector<std::string> lineDiff(const std::string &before, const std::string &after,
                                  std::size_t maxLines);

} // namespace ivyspar
