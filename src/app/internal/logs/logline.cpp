#include "app/internal/logs/logline.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>

#include <nlohmann/json.hpp>

#include "state/idvalue.h"

namespace ivyspar {

namespace {

using Json = nlohmann::ordered_json;

const char *toText(LogLevel level)
{
    constexpr std::array<const char *, 6> NAMES{ "trace", "debug", "info", "warn", "error", "off" };
    return NAMES.at(static_cast<std::size_t>(level));
}

/// UTC, as in 2026-12-02T20:30:24.662Z.
std::string timeText(std::chrono::system_clock::time_point time)
{
    using std::chrono::milliseconds;
    const auto millis = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    constexpr int MILLIS_PER_SECOND = 1000;
    const std::time_t seconds = millis / MILLIS_PER_SECOND;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%03dZ", date,
                  static_cast<int>(millis % MILLIS_PER_SECOND));
    return text;
}

/// Rounds to three decimal places, to keep lines short.
double rounded(double value)
{
    constexpr double STEPS = 1000;
    return std::round(value * STEPS) / STEPS;
}

Json startLine(const LineOrigin &origin, const char *event)
{
    return Json{ { "time", timeText(origin.time) },
                 { "daemon", origin.daemon.value() },
                 { "event", event } };
}

/// Names come from outside: invalid UTF-8 is replaced, as it would otherwise throw and end the
/// writer thread.
std::string endLine(const Json &line)
{
    return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void addText(Json &line, const char *key, const std::string &value)
{
    if (!value.empty()) {
        line[key] = value;
    }
}

void addId(Json &line, const char *key, RootId id)
{
    if (id != RootId()) {
        line[key] = toHex(id.value());
    }
}

void addCandidates(Json &line, const std::vector<DecisionCandidate> &candidates)
{
    if (candidates.empty()) {
        return;
    }
    Json &scores = line["candidates"];
    for (const DecisionCandidate &candidate : candidates) {
        scores[candidate.daemon.value()] = rounded(candidate.score);
    }
}

} // namespace

std::string toLine(const LineOrigin &origin, const Decision &decision)
{
    Json line = startLine(origin, toText(decision.kind));
    addId(line, "request", decision.root);
    addId(line, "call", decision.call);
    addText(line, "service", decision.service.value());
    addText(line, "rule", decision.rule.value());
    if (decision.rank != Rank()) {
        line["rank"] = decision.rank.value();
    }
    if (decision.attempt > 0) {
        line["attempt"] = decision.attempt;
    }
    addCandidates(line, decision.candidates);
    addText(line, "choice", decision.choice);
    addText(line, "outcome", decision.outcome);
    addText(line, "reason", decision.reason);
    for (const DecisionInput &input : decision.inputs) {
        line[input.name] = rounded(input.value);
    }
    addText(line, "fingerprint", decision.fingerprint.value());
    addText(line, "account", decision.account.value());
    addText(line, "detail", decision.detail);
    std::string text = endLine(line);
    if (text.size() <= MAX_LINE_BYTES) {
        return text;
    }
    Json cut = startLine(origin, toText(decision.kind));
    addId(cut, "request", decision.root);
    cut["cut"] = text.size();
    return endLine(cut);
}

std::string toLine(const LineOrigin &origin, LogLevel level, const std::string &text)
{
    Json line = startLine(origin, "message");
    line["level"] = toText(level);
    line["text"] = text.substr(0, MAX_LINE_BYTES / 2);
    return endLine(line);
}

std::string toLine(const LineOrigin &origin, const SuppressedCounts &suppressed)
{
    Json line = startLine(origin, "suppressed");
    for (const auto &[event, count] : suppressed) {
        line["lines"][event] = count;
    }
    return endLine(line);
}

} // namespace ivyspar
