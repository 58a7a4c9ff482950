#pragma once

#include <cstdint>
#include <memory>

#include "coordination/retries/iretrypolicy.h"

namespace ivyspar {

/// Options of a retry policy. Each mechanism can be disabled to measure its effect.
struct RetryOptions
{
    /// If false, nothing is retried.
    bool hasRetries = true;
    /// If false, retries are not limited by the tokens below.
    bool hasRetryTokens = true;
    /// If false, every hop retries, wherever the failure occurred.
    bool isNextHopOnly = true;
    bool hasHedging = true;

    /// If true, an attempt that reached no upstream costs no token, since the next one is the first
    /// that an upstream receives. Such attempts are limited by `maxTotalAttempts` alone.
    bool countsUpstreamAttemptsOnly = false;
    std::uint32_t maxTotalAttempts = 6;

    /// Maximum number of attempts of one call at this hop, including the first.
    std::uint32_t maxAttempts = 3;
    /// Retry tokens earned per success.
    double retryRatio = 0.1;
    /// Retry tokens of a service at first, and at most.
    double initialRetryTokens = 3;
    double maxRetryTokens = 10;
    /// If above 0, the maximum for all daemons together, instead of `maxRetryTokens` for each.
    double sharedRetryTokens = 0;
    /// `sharedRetryTokens` is divided by at least this number of daemons: after a power failure or
    /// in a partition each daemon knows few others, and together they would save up a multiple of
    /// it.
    std::size_t minDaemons = 16;

    /// Hedge tokens earned per success, and their maximum.
    double hedgeRatio = 0.05;
    double maxHedgeTokens = 5;
    double hedgeQuantile = 0.95;
    /// A hedge is sent after this multiple of the quantile. Well above 1, only missing answers are
    /// hedged: a lost answer, a frozen peer, a connection that was cut without notice.
    double hedgeFactor = 1;
    /// If true, hedges take retry tokens, as a shared budget counts both as repeats.
    bool hedgesUseRetryTokens = false;
    /// Latencies needed before the quantile is used.
    std::uint32_t minHedgeSamples = 50;
    Duration minHedgeDelay = std::chrono::milliseconds(1);
    /// No hedges are sent while a larger share of the service's calls is refused.
    double maxHedgeRefusedShare = 0.02;
    /// Latencies are kept for one to two windows.
    Duration window = std::chrono::seconds(5);

    /// Mean delay until a refused caller retries, with a jitter of half of it, if few are refused …
    Duration retryAfter = std::chrono::milliseconds(200);
    /// … and its maximum, however many are refused.
    Duration maxRetryAfter = std::chrono::seconds(5);
};

std::unique_ptr<IRetryPolicy> makeRetryPolicy(const RetryOptions &options);

} // namespace ivyspar
