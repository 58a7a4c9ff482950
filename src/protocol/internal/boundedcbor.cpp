#include "protocol/internal/boundedcbor.h"

#include <string_view>

#include "protocol/internal/cborhead.h"

namespace ivyspar {

namespace {

/// Must hold before the library parses the bytes: its parser recurses into nested items and
/// reserves memory for any length that an item claims.
bool isBounded(const std::string &bytes)
{
    std::string_view rest(bytes);
    return cbor::takeItem(rest) && rest.empty();
}

} // namespace

std::optional<nlohmann::json> parseCbor(const std::string &bytes)
{
    if (!isBounded(bytes)) {
        return std::nullopt;
    }
    auto value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string toCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

} // namespace ivyspar
