#include "app/internal/commands/statustext.h"

#include <nlohmann/json.hpp>

namespace ivyspar {

namespace {

using nlohmann::json;

constexpr std::size_t INDENT = 2;
// Writing is recursive: a malformed response with 100,000 brackets would exhaust the stack. Deeper
// values are dropped while parsing, which is not recursive.
constexpr int MAX_DEPTH = 16;

bool keepShallow(int depth, json::parse_event_t /*event*/, json & /*value*/)
{
    return depth < MAX_DEPTH;
}

std::string valueText(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Lists of scalars are written on one line, objects on several.
bool isSingleLine(const json &value)
{
    if (value.is_object()) {
        return value.empty();
    }
    if (!value.is_array()) {
        return true;
    }
    for (const json &element : value) {
        if (element.is_structured()) {
            return false;
        }
    }
    return true;
}

void write(const json &value, std::size_t depth, std::string &text);

void writeEntry(const std::string &label, const json &value, std::size_t depth, std::string &text)
{
    text.append(depth * INDENT, ' ');
    text += label;
    if (isSingleLine(value)) {
        text += ' ' + valueText(value) + '\n';
        return;
    }
    text += '\n';
    write(value, depth + 1, text);
}

void write(const json &value, std::size_t depth, std::string &text)
{
    for (const auto &[key, element] : value.items()) {
        writeEntry(value.is_array() ? "-" : key + ':', element, depth, text);
    }
}

} // namespace

RetVal<std::string> toStatusText(const std::string &text)
{
    const json status = json::parse(text, keepShallow, false);
    if (!status.is_object()) {
        return makeError(ErrorCode::InvalidArgument, "the status is not a JSON object");
    }
    std::string lines;
    write(status, 0, lines);
    return lines;
}

} // namespace ivyspar
