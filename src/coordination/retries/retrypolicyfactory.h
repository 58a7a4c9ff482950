#pragma once

#include <cstdint>
#include <memory>

#include "coordination/retries/iretrypolicy.h"

namespace ivyspar {

/// Settings of a retry policy. Each policy can be switched off to measure what it is worth.
struct RetryOptions
{
    /// Off: no retry at all.
    bool hasRetries = true;
    /// Off: retries are not bounded by the share below.
    bool hasRetryTokens = true;
    /// Off: each hop retries, whoever failed.
    bool isNextHopOnly = true;
    bool hasHedging = true;

    /// On: an attempt that no upstream saw costs no token, since the next one is the first that an
    /// upstream sees. Such attempts are bounded by `maxTotalAttempts` alone.
    bool countsUpstreamAttemptsOnly = false;
    std::uint32_t maxTotalAttempts = 6;

    /// Attempts of one call at this hop, the first included.
    std::uint32_t maxAttempts = 3;
    /// Retries per success.
    double retryRatio = 0.1;
    /// Retries that a service has saved up at first, and at most.
    double initialRetryTokens = 3;
    double maxRetryTokens = 10;
    /// Above 0: what all daemons together may save up, instead of `maxRetryTokens` for each.
    double sharedRetryTokens = 0;
    /// A daemon that knows of fewer others takes no larger part of it: after a power failure or in
    /// a partition each knows few, and together they would save up a multiple.
    std::size_t minDaemons = 16;

    /// Hedges per success, and how many may be saved up.
    double hedgeRatio = 0.05;
    double maxHedgeTokens = 5;
    double hedgeQuantile = 0.95;
    /// A hedge is sent after this multiple of the quantile. Well above 1 it answers silence alone:
    /// a lost answer, a frozen peer, a connection that was cut without notice.
    double hedgeFactor = 1;
    /// Hedges take from the retries that are saved up: a shared budget counts them all as repeats.
    bool hedgesUseRetryTokens = false;
    /// Latencies needed before the quantile is believed.
    std::uint32_t minHedgeSamples = 50;
    Duration minHedgeDelay = std::chrono::milliseconds(1);
    /// No hedges while a larger share of the service's calls is refused.
    double maxHedgeRefusedShare = 0.02;
    /// Latencies are remembered for one to two windows.
    Duration window = std::chrono::seconds(5);

    /// Refused callers are spread around this time (by half of it) when few are refused …
    Duration retryAfter = std::chrono::milliseconds(200);
    /// … and around this time at most, however many are.
    Duration maxRetryAfter = std::chrono::seconds(5);
};

std::unique_ptr<IRetryPolicy> makeRetryPolicy(const RetryOptions &options);

} // namespace ivyspar
