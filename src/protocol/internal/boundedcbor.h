#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace ivyspar {

/// Parses `bytes` as exactly one CBOR value. Nothing if it is malformed or nested too deeply. Never
/// throws.
std::optional<nlohmann::json> parseCbor(const std::string &bytes);

/// Encodes a value as CBOR. Its texts must be valid UTF-8.
std::string toCbor(const nlohmann::json &value);

} // namespace ivyspar
