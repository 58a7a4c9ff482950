#pragma once

#include <limits>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace ivyspar {

/// The unsigned number at `key`; nothing if it is missing, of another type or too large for `T`.
template <typename T> std::optional<T> unsignedField(const nlohmann::json &map, const char *key)
{
    const auto found = map.find(key);
    if (found == map.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    const auto value = found->get<std::uint64_t>();
    if (value > std::numeric_limits<T>::max()) {
        return std::nullopt;
    }
    return static_cast<T>(value);
}

/// The text at `key`; nothing if it is missing, of another type or longer than `maxBytes`.
inline std::optional<std::string> textField(const nlohmann::json &map, const char *key,
                                            std::size_t maxBytes)
{
    const auto found = map.find(key);
    if (found == map.end() || !found->is_string()) {
        return std::nullopt;
    }
    const auto &text = found->get_ref<const std::string &>();
    return text.size() <= maxBytes ? std::optional(text) : std::nullopt;
}

} // namespace ivyspar
