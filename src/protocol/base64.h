#pragma once

#include <optional>
#include <string>

namespace ivyspar {

std::string toBase64(const std::string &bytes);

/// Nothing if the text is not valid Base64 with padding.
std::optional<std::string> fromBase64(const std::string &text);

} // namespace ivyspar
