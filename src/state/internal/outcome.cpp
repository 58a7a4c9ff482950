#include "state/outcome.h"

namespace ivyspar {

const char *toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *toText(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::NoConfiguration:
        return "no-configuration";
    case Reason::NoRule:
        return "no-rule";
    case Reason::NoServer:
        return "no-server";
    case Reason::BelowFloor:
        return "below-floor";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::Doomed:
        return "doomed";
    case Reason::DeadlineExceeded:
        return "deadline-exceeded";
    case Reason::BudgetSpent:
        return "budget-spent";
    case Reason::CallerAttempts:
        return "caller-attempts";
    case Reason::Draining:
        return "draining";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::ConnectFailed:
        return "connect-failed";
    case Reason::UpstreamRefused:
        return "upstream-refused";
    case Reason::BrokenAnswer:
        return "broken-answer";
    case Reason::LinkLost:
        return "link-lost";
    case Reason::Timeout:
        return "timeout";
    case Reason::KeyBusy:
        return "key-busy";
    case Reason::KeyHolderGone:
        return "key-holder-gone";
    case Reason::LogUnavailable:
        return "log-unavailable";
    case Reason::TooLarge:
        return "too-large";
    case Reason::BadRequest:
        return "bad-request";
    case Reason::ShuttingDown:
        return "shutting-down";
    case Reason::ServerCrashed:
        return "server-crashed";
    case Reason::Suspected:
        return "suspected";
    case Reason::Quarantined:
        return "quarantined";
    case Reason::UnknownKey:
        return "unknown-key";
    case Reason::UncertainKey:
        return "uncertain-key";
    case Reason::OverLimit:
        return "over-limit";
    case Reason::RateLimited:
        return "rate-limited";
    }
    return "none";
}

} // namespace ivyspar
