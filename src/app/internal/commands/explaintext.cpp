#include "app/internal/commands/explaintext.h"

#include <map>
#include <set>

#include "app/internal/commands/requestcause.h"

namespace ivyspar {

namespace {

/// The time of day of a timestamp like 2026-12-02T20:30:24.662Z.
std::string timeOfDay(const std::string &time)
{
    constexpr std::size_t DATE_SIZE = 11;
    return time.size() > DATE_SIZE ? time.substr(DATE_SIZE) : time;
}

std::string valueText(const nlohmann::ordered_json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string eventText(const HistoryEvent &event)
{
    std::string text = timeOfDay(event.time) + "  " + event.daemon + "  " + event.event;
    for (const auto &[name, value] : event.fields.items()) {
        if (name != "request") {
            text += "  " + name + "=" + valueText(value);
        }
    }
    return text + '\n';
}

std::string listText(const std::string &title, const std::vector<HistoryEvent> &events)
{
    if (events.empty()) {
        return "";
    }
    std::string text = '\n' + title + '\n';
    for (const HistoryEvent &event : events) {
        text += "  " + eventText(event);
    }
    return text;
}

std::string suppressionText(const std::vector<HistoryEvent> &suppressions)
{
    std::map<std::string, std::size_t> counts;
    std::set<std::string> daemons;
    for (const HistoryEvent &event : suppressions) {
        daemons.insert(event.daemon);
        if (!event.has("lines")) {
            continue;
        }
        for (const auto &[name, count] : event.fields["lines"].items()) {
            counts[name] += count.is_number_unsigned() ? count.get<std::size_t>() : 0;
        }
    }
    if (daemons.empty()) {
        return "";
    }
    std::string text = "\nSuppressed around that time because the log budget was exhausted, by "
        + std::to_string(daemons.size()) + " daemons:";
    for (const auto &[name, count] : counts) {
        text += ' ' + name + ' ' + std::to_string(count) + ',';
    }
    text.back() = '.';
    return text + " Lines of this request may be among them.\n";
}

std::string sourceNotes(const std::vector<HistorySource> &sources)
{
    std::string text;
    for (const HistorySource &source : sources) {
        if (source.lines == 0) {
            text += "note: " + source.name + " holds no line of a decision log\n";
        }
        if (source.isCut) {
            text += "note: " + source.name + " ends in the middle of a line\n";
        }
    }
    return text;
}

} // namespace

std::string toExplanation(const RequestHistory &history)
{
    const std::vector<HistoryEvent> &events = history.events();
    const std::string notes = sourceNotes(history.sources());
    if (events.empty()) {
        return "no line of request " + history.root()
            + " was found; it may have been suppressed, or have passed through other daemons\n"
            + notes;
    }
    std::string text =
        "request " + history.root() + ", " + std::to_string(events.size()) + " lines\n";
    for (const HistoryEvent &event : events) {
        text += "  " + eventText(event);
    }
    text += "\nCause: " + findCause(events) + '\n';
    text += listText("State changes seen by daemons from a second before to a second after:",
                     history.stateChanges());
    text += suppressionText(history.suppressions());
    return text + notes;
}

} // namespace ivyspar
