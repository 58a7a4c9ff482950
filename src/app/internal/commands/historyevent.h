#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace ivyspar {

/// One line of a daemon's decision log.
struct HistoryEvent
{
    std::string time;
    std::string daemon;
    std::string event;
    /// All other fields, in the order of the line.
    nlohmann::ordered_json fields;

    /// Empty if there is no such text.
    std::string text(const char *field) const;
    bool has(const char *field) const { return fields.contains(field); }
};

/// Nothing for a line that is not of a decision log. Other programs may put words of their own
/// before it, so it begins with its first brace.
std::optional<HistoryEvent> parseHistoryEvent(const std::string &line);

} // namespace ivyspar
