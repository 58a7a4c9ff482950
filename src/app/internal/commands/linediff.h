#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace ivyspar {

/// The differing lines in order: `-` for a line of `before`, `+` for one of `after`. After
/// `maxLines` lines, a last line gives the number of those omitted.
std::vector<std::string> lineDiff(const std::string &before, const std::string &after,
                                  std::size_t maxLines);

} // namespace ivyspar
