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

    /// The value of a string field; empty if there is none of that name.
    std::string text(const char *field) const;
    bool has(const char *field) const { return fields.contains(field); }
};

/// Returns nothing for a line that is not from a decision log. Log collectors may add a prefix, so
/// parsing starts at the first brace.
std::optional<HistoryEvent> parseHistoryEvent(const std::string &line);

} // namespace ivyspar
