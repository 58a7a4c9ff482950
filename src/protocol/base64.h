#pragma once

#include <optional>
#include <string>

namespace ivyspar {

std::string toBase64(const std::string &bytes);

/// Nothing for text that is not Base64.
std::optional<std::string> fromBase64(const std::string &text);

} // namespace ivyspar
