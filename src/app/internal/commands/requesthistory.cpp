#include "app/internal/commands/requesthistory.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace ivyspar {

namespace {

constexpr std::array<const char *, 6> STATE_CHANGE_EVENTS{ "configuration", "membership",
                                                           "quarantine",    "upstream",
                                                           "dependency",    "lifecycle" };
/// Older state changes were known to all daemons when the request arrived.
constexpr double WINDOW_MARGIN_SECONDS = 1;

/// Seconds since 1970 of a timestamp like 2026-12-02T20:30:24.662Z; 0 if it is malformed.
double secondsOf(const std::string &time)
{
    std::tm parts{};
    double seconds = 0;
    const int read = std::sscanf(time.c_str(), "%d-%d-%dT%d:%d:%lfZ", &parts.tm_year, &parts.tm_mon,
                                 &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &seconds);
    constexpr int FIELDS = 6;
    constexpr int FIRST_YEAR = 1900;
    if (read != FIELDS) {
        return 0;
    }
    parts.tm_year -= FIRST_YEAR;
    parts.tm_mon -= 1;
    return static_cast<double>(timegm(&parts)) + seconds;
}

bool isStateChange(const HistoryEvent &event)
{
    return std::any_of(STATE_CHANGE_EVENTS.begin(), STATE_CHANGE_EVENTS.end(),
                       [&](const char *name) { return event.event == name; });
}

void sortByTime(std::vector<HistoryEvent> &events)
{
    std::stable_sort(events.begin(), events.end(),
                     [](const auto &a, const auto &b) { return a.time < b.time; });
}

} // namespace

RequestHistory::RequestHistory(std::string id)
    : m_id(std::move(id))
    , m_root(m_id)
{
}

void RequestHistory::findRoot(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        if (line.find(m_id) == std::string::npos) {
            continue;
        }
        const auto event = parseHistoryEvent(line);
        if (event && event->text("call") == m_id) {
            m_root = event->text("request");
        }
    }
}

void RequestHistory::collect(const std::string &name, std::istream &log)
{
    HistorySource source;
    source.name = name;
    std::string line;
    while (std::getline(log, line)) {
        auto event = parseHistoryEvent(line);
        source.lines += event ? 1 : 0;
        source.isCut = !event && line.find('{') != std::string::npos && log.eof();
        if (!event) {
            continue;
        }
        if (event->text("request") == m_root) {
            m_events.push_back(std::move(*event));
        } else if (event->event == "suppressed") {
            m_suppressions.push_back(std::move(*event));
        } else if (isStateChange(*event)) {
            m_stateChanges.push_back(std::move(*event));
        }
    }
    m_sources.push_back(std::move(source));
    sortByTime(m_events);
    sortByTime(m_stateChanges);
    sortByTime(m_suppressions);
}

std::vector<HistoryEvent>
RequestHistory::aroundRequest(const std::vector<HistoryEvent> &events) const
{
    std::vector<HistoryEvent> found;
    if (m_events.empty()) {
        return found;
    }
    const double first = secondsOf(m_events.front().time) - WINDOW_MARGIN_SECONDS;
    // Lines suppressed in one second are reported in the next one.
    const double last = secondsOf(m_events.back().time) + WINDOW_MARGIN_SECONDS;
    for (const HistoryEvent &event : events) {
        const double time = secondsOf(event.time);
        if (time >= first && time <= last) {
            found.push_back(event);
        }
    }
    return found;
}

std::vector<HistoryEvent> RequestHistory::stateChanges() const
{
    return aroundRequest(m_stateChanges);
}

std::vector<HistoryEvent> RequestHistory::suppressions() const
{
    return aroundRequest(m_suppressions);
}

} // namespace ivyspar
