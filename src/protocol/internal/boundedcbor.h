#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace ivyspar {

/// Parses one CBOR value that takes up the whole of `bytes`. Nothing on anything malformed or
/// nested deeper than our messages are. Never throws.
std::optional<nlohmann::json> parseCbor(const std::string &bytes);

/// CBOR bytes of a value made by us.
std::string toCbor(const nlohmann::json &value);

} // namespace ivyspar
