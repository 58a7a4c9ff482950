#pragma once

#include <string>

#include "state/time.h"

namespace ivyspar {

/// Result of a request as reported to its caller. `NotRun` is never reported for a request that may
/// have run.
enum class Outcome {
    Answered, ///< The upstream's complete response.
    NotRun, ///< It is certain that no upstream started it.
    Unknown, ///< It may have run.
};

/// Why a request was not answered, for the caller, the logs and the metrics.
enum class Reason {
    None,
    NoConfiguration,
    NoRule,
    NoServer, ///< No live server of the service is known.
    BelowFloor, ///< Refused before any work was done: the gates admit only higher ranks.
    QueueFull,
    Doomed, ///< The remaining time is shorter than the service needs.
    DeadlineExceeded,
    BudgetSpent, ///< No attempt is left.
    CallerAttempts, ///< The caller repeated more often than the rule allows.
    Draining,
    Cancelled,
    ConnectFailed,
    UpstreamRefused, ///< The upstream said that it did not start the request.
    BrokenAnswer, ///< The upstream's response was truncated or malformed.
    LinkLost, ///< The link to the daemon of the upstream's host was lost after sending.
    Timeout,
    KeyBusy, ///< Another attempt with the same key is running.
    KeyHolderGone, ///< The daemon that holds the key is gone, or no longer has the result.
    LogUnavailable, ///< The platform's log is needed but unavailable.
    TooLarge,
    BadRequest,
    ShuttingDown,
    ServerCrashed, ///< The upstream's process ended while it ran the request.
    Suspected, ///< It may have crashed servers and is not run until they are back.
    Quarantined, ///< It crashes the servers that run it.
    UnknownKey, ///< No client account holds the caller's key, or it sent none.
    UncertainKey, ///< The key is unknown here, but a newer configuration may contain it.
    OverLimit, ///< The client account has used up its limit.
    RateLimited, ///< The server states a rate limit, and it is used up.
    Last = RateLimited,
};

const char *toText(Outcome outcome);
const char *toText(Reason reason);

/// Result of a request, and when the caller may retry.
struct Verdict
{
    /// `NotRun` must be stated, by whoever can prove it.
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// Time to wait before a retry; zero if a retry does not help.
    Duration retryAfter{ 0 };
};

} // namespace ivyspar
