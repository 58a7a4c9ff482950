#include "app/internal/commands/requestcause.h"

#include <algorithm>
#include <array>

#include "state/http.h"

namespace ivyspar {

namespace {

struct Explanation
{
    const char *reason;
    const char *sentence;
};

constexpr std::array<Explanation, 18> EXPLANATIONS{ {
    { "below-floor", "a call of its tree would have been lost at a service without free capacity" },
    { "queue-full", "the queue of the server's gate was full of calls that take precedence" },
    { "rate-limited", "the server states that it takes only so many requests a second" },
    { "doomed", "the time left was shorter than the server usually takes" },
    { "deadline-exceeded", "its deadline had passed" },
    { "timeout", "no response came within the time-out of the route" },
    { "no-server", "no server of the service was known, or none of the daemons asked has one" },
    { "no-configuration", "the daemon had no configuration yet" },
    { "no-rule", "no rule of the configuration in force matches" },
    { "connect-failed", "the server or its daemon could not be reached; nothing was sent" },
    { "link-lost", "the link to the daemon of the server was lost after the call was sent" },
    { "broken-answer", "the server's response was truncated, malformed or for another request" },
    { "upstream-refused", "the server reported that it did not run it" },
    { "cancelled", "the caller disconnected or cancelled it" },
    { "draining", "the server or its daemon was about to stop" },
    { "server-crashed", "the server crashed while it processed it" },
    { "suspected", "such requests may have crashed servers that had not restarted yet" },
    { "quarantined", "such requests crash servers, so they are no longer run" },
} };

std::string sentenceOf(const std::string &reason)
{
    for (const Explanation &each : EXPLANATIONS) {
        if (reason == each.reason) {
            return reason + ": " + each.sentence;
        }
    }
    return reason;
}

const HistoryEvent *findEnd(const std::vector<HistoryEvent> &events)
{
    const auto end = std::find_if(events.rbegin(), events.rend(), isRequestEnd);
    return end == events.rend() ? nullptr : &*end;
}

bool isFailure(const HistoryEvent &event)
{
    const bool isRefusal = event.event == "refuse";
    const bool isLostRun = event.event == "run" && event.text("outcome") != "answered";
    return isRefusal || isLostRun;
}

/// The last failure below the entry before the request's end. Cancelled calls are skipped, as they
/// follow from another failure.
const HistoryEvent *findFailure(const std::vector<HistoryEvent> &events, const HistoryEvent *end)
{
    const HistoryEvent *failure = nullptr;
    for (const HistoryEvent &event : events) {
        if (&event == end) {
            break;
        }
        if (isFailure(event) && event.text("reason") != "cancelled") {
            failure = &event;
        }
    }
    return failure;
}

std::string numberOf(const HistoryEvent &event, const char *field)
{
    return event.has(field) ? event.fields[field].dump() : "?";
}

double valueOf(const HistoryEvent &event, const char *field, double fallback)
{
    const bool isNumber = event.has(field) && event.fields[field].is_number();
    return isNumber ? event.fields[field].get<double>() : fallback;
}

/// Why the call was refused and not another one.
std::string orderText(const HistoryEvent &event)
{
    std::string text;
    if (event.has("slack_ms")) {
        const bool isLate = valueOf(event, "slack_ms", 0) < 0;
        text += ", slack " + numberOf(event, "slack_ms") + " ms: its objective could "
            + (isLate ? "no longer" : "still") + " be met";
    }
    if (event.has("choice") && event.has("detail")) {
        text += "; refused " + event.text("detail") + ", request " + event.text("choice");
    }
    return text;
}

std::string decisionInputsText(const HistoryEvent &event)
{
    if (event.has("crashes")) {
        return " (fingerprint " + event.text("fingerprint") + ", crashes "
            + numberOf(event, "crashes") + ")";
    }
    if (event.has("lag_ms")) {
        return " (the daemon was " + numberOf(event, "lag_ms") + " ms behind)";
    }
    if (valueOf(event, "odds", 1) < 1) {
        return " (too few of its call trees complete now; share admitted " + numberOf(event, "odds")
            + ")";
    }
    if (event.has("account_fair_slots")) {
        return " (account " + event.text("account") + " asks for "
            + numberOf(event, "account_demand_slots") + " slots of service " + event.text("choice")
            + " here, its fair part is " + numberOf(event, "account_fair_slots")
            + "; share admitted of this account " + numberOf(event, "account_share") + ", of all "
            + numberOf(event, "share") + "; load " + numberOf(event, "load") + ")";
    }
    if (event.has("load")) {
        return " (service " + event.text("choice") + ": load " + numberOf(event, "load")
            + ", reported " + numberOf(event, "load_age_ms") + " ms before; share admitted "
            + numberOf(event, "share") + ")";
    }
    if (event.has("window")) {
        return " (the call tree of the rule was not known yet: " + numberOf(event, "under_way")
            + " in progress, window " + numberOf(event, "window") + ")";
    }
    if (event.text("reason") == "rate-limited") {
        return " (" + numberOf(event, "rate_per_s") + " a second; queued "
            + numberOf(event, "queued") + ")";
    }
    if (event.has("queued")) {
        return " (in flight " + numberOf(event, "in_flight") + " of " + numberOf(event, "limit")
            + ", queued " + numberOf(event, "queued") + ", left " + numberOf(event, "left_ms")
            + " ms" + orderText(event) + ")";
    }
    return "";
}

std::string describe(const HistoryEvent &event)
{
    return event.daemon + ", service " + event.text("service") + ": "
        + sentenceOf(event.text("reason")) + decisionInputsText(event);
}

int statusOf(const HistoryEvent &event)
{
    return event.has("status") ? static_cast<int>(event.fields["status"].get<double>()) : 0;
}

/// The first run of the tree that ended with an error: runs above it fail because of it.
const HistoryEvent *findFirstError(const std::vector<HistoryEvent> &events)
{
    const auto run = std::find_if(events.begin(), events.end(), [](const HistoryEvent &event) {
        return event.event == "run" && isServerError(statusOf(event));
    });
    return run == events.end() ? nullptr : &*run;
}

std::string describeAnswer(const std::vector<HistoryEvent> &events, const HistoryEvent &end,
                           const HistoryEvent *failure)
{
    const int status = statusOf(end);
    std::string text =
        "answered with " + std::to_string(status) + " after " + numberOf(end, "took_ms") + " ms";
    if (!isServerError(status)) {
        return text;
    }
    if (failure) {
        return text + ": its server failed after a call of its tree failed: at "
            + describe(*failure);
    }
    const HistoryEvent *first = findFirstError(events);
    return first ? text + ": the first error of its tree came from " + first->text("choice")
            + ", service " + first->text("service") + ", beside " + first->daemon
                 : text + ": the logs name no error below it";
}

} // namespace

/// Events of gates have the field `waited_ms`, ends at the entry do not.
bool isRequestEnd(const HistoryEvent &event)
{
    const bool isEnd = event.event == "answer" || event.event == "refuse";
    return isEnd && !event.has("call") && !event.has("waited_ms");
}

bool hasFailed(const HistoryEvent &end)
{
    return end.event == "refuse" || isServerError(statusOf(end));
}

std::string shortCause(const std::vector<HistoryEvent> &events)
{
    const HistoryEvent &end = events.back();
    const HistoryEvent *failure = findFailure(events, &end);
    if (end.event == "refuse") {
        const std::string place = end.text("service");
        const std::string narrow = end.has("load") ? " for the load of " + end.text("choice") : "";
        return place + ", " + end.text("outcome") + ": " + end.text("reason") + narrow;
    }
    std::string text = end.text("service") + ", answered with " + std::to_string(statusOf(end));
    if (failure != nullptr) {
        return text + ": a call to " + failure->text("service") + " ended with "
            + failure->text("reason");
    }
    const HistoryEvent *first = findFirstError(events);
    return first != nullptr
        ? text + ": the first error came from a server of " + first->text("service")
        : text + ": the logs name no error below it";
}

std::string findCause(const std::vector<HistoryEvent> &events)
{
    const HistoryEvent *end = findEnd(events);
    const HistoryEvent *failure = findFailure(events, end);
    if (!end) {
        return failure ? "its end is not in the logs; the last failure was at " + describe(*failure)
                       : "its end is not in the logs";
    }
    if (end->event == "answer") {
        return describeAnswer(events, *end, failure);
    }
    std::string text = end->text("outcome") + " at " + describe(*end);
    if (failure && !end->has("load") && !end->has("window")) {
        text += "; before that, at " + describe(*failure);
    }
    return text;
}

} // namespace ivyspar
