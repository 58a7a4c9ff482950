#include "app/internal/commands/failuresummary.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "app/internal/commands/requestcause.h"

namespace ivyspar {

namespace {

/// Number of seconds listed in the summary, the worst first.
constexpr std::size_t WORST_SECONDS = 5;
constexpr double PERCENT = 100;

/// A timestamp like 2026-12-02T20:30:24.662Z, truncated to the second.
std::string secondOf(const std::string &time)
{
    constexpr std::size_t SIZE = 19;
    return time.substr(0, SIZE);
}

std::string timeOfDay(const std::string &second)
{
    constexpr std::size_t DATE_SIZE = 11;
    return second.size() > DATE_SIZE ? second.substr(DATE_SIZE) : second;
}

/// Cheap test before parsing: most lines are irrelevant, and parsing the log of a busy day entirely
/// would take minutes.
bool mayContainEvent(const std::string &line, const char *event)
{
    return line.find(event) != std::string::npos;
}

template <typename... Values> std::string format(const char *pattern, Values... values)
{
    std::array<char, 256> text{};
    std::snprintf(text.data(), text.size(), pattern, values...);
    return text.data();
}

double shareOf(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : PERCENT * static_cast<double>(part) / static_cast<double>(whole);
}

std::string groupText(const FailureGroup &group, std::size_t failed)
{
    const auto worst =
        std::max_element(group.seconds.begin(), group.seconds.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    return format("%8zu %6.1f%%  %s %6zu  ", group.count, shareOf(group.count, failed),
                  timeOfDay(worst->first).c_str(), worst->second)
        + group.cause + ", as " + group.example + '\n';
}

std::string worstSecondsText(const std::map<std::string, SecondCount> &seconds)
{
    using Second = std::pair<std::string, SecondCount>;
    std::vector<Second> worst(seconds.begin(), seconds.end());
    std::stable_sort(worst.begin(), worst.end(), [](const Second &a, const Second &b) {
        return a.second.failed > b.second.failed;
    });
    std::string text = "\nWorst seconds:";
    for (std::size_t i = 0; i < std::min(WORST_SECONDS, worst.size()); ++i) {
        text += format(" %s %zu of %zu,", timeOfDay(worst[i].first).c_str(), worst[i].second.failed,
                       worst[i].second.ended);
    }
    text.back() = '.';
    return text + '\n';
}

} // namespace

void FailureSummary::findFailed(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        if (!mayContainEvent(line, "\"answer\"") && !mayContainEvent(line, "\"refuse\"")) {
            continue;
        }
        auto event = parseHistoryEvent(line);
        if (!event || !isRequestEnd(*event)) {
            continue;
        }
        SecondCount &second = m_seconds[secondOf(event->time)];
        ++second.ended;
        if (!hasFailed(*event)) {
            continue;
        }
        ++second.failed;
        std::string id = event->text("request");
        m_failed[std::move(id)].end = std::move(*event);
    }
}

void FailureSummary::collect(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        const bool isRun = mayContainEvent(line, "\"run\"") || mayContainEvent(line, "\"refuse\"");
        const bool isSuppressed = mayContainEvent(line, "\"suppressed\"");
        auto event = isRun || isSuppressed ? parseHistoryEvent(line) : std::nullopt;
        if (!event) {
            continue;
        }
        if (event->event == "suppressed" && event->has("lines")) {
            for (const auto &[name, count] : event->fields["lines"].items()) {
                m_suppressed += count.is_number_unsigned() ? count.get<std::size_t>() : 0;
            }
            continue;
        }
        const auto found = m_failed.find(event->text("request"));
        if (found != m_failed.end() && !isRequestEnd(*event)) {
            found->second.events.push_back(std::move(*event));
        }
    }
}

std::vector<FailureGroup> FailureSummary::groups() const
{
    std::map<std::string, FailureGroup> byCause;
    for (const auto &[id, failure] : m_failed) {
        std::vector<HistoryEvent> events = failure.events;
        std::stable_sort(events.begin(), events.end(),
                         [](const auto &a, const auto &b) { return a.time < b.time; });
        events.push_back(failure.end);
        const std::string cause = shortCause(events);
        FailureGroup &group = byCause[cause];
        group.cause = cause;
        ++group.count;
        ++group.seconds[secondOf(failure.end.time)];
        group.example = group.example.empty() ? id : std::min(group.example, id);
    }
    std::vector<FailureGroup> groups;
    groups.reserve(byCause.size());
    for (auto &[cause, group] : byCause) {
        groups.push_back(std::move(group));
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](const auto &a, const auto &b) { return a.count > b.count; });
    return groups;
}

std::string toSummary(const FailureSummary &summary)
{
    SecondCount all;
    for (const auto &[second, count] : summary.seconds()) {
        all.ended += count.ended;
        all.failed += count.failed;
    }
    std::string text = format("%zu requests of callers ended, %zu failed (%.1f%%)\n", all.ended,
                              all.failed, shareOf(all.failed, all.ended));
    if (all.failed > 0) {
        text += "\n   count  share  worst second     cause\n";
        for (const FailureGroup &group : summary.groups()) {
            text += groupText(group, all.failed);
        }
        text += worstSecondsText(summary.seconds());
    }
    if (summary.suppressed() > 0) {
        text += format("\n%zu lines were suppressed because the log budget was exhausted; they are "
                       "not counted.\n",
                       summary.suppressed());
    }
    return text;
}

} // namespace ivyspar
