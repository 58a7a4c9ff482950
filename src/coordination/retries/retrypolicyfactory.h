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
    /// upstream sees. Such attempts are bounded by `unseenAttempts` alone.
    bool countsArrivalsOnly = false;
    std::uint32_t unseenAttempts = 6;

    /// Attempts of one call at this hop, the first included.
    std::uint32_t attempts = 3;
    /// Retries per success.
    double retryShare = 0.1;
    /// Retries that a service has saved up at first, and at most.
    double initialRetries = 3;
    double mostRetries = 10;
    /// Above 0: what all daemons together may save up, instead of `mostRetries` for each.
    double sharedSlack = 0;
    /// A daemon that knows of fewer others takes no larger part of it: after a power failure or in
    /// a partition each knows few, and together they would save up a multiple.
    std::size_t leastDaemons = 16;

    /// Hedges per success, and how many may be saved up.
    double hedgeShare = 0.05;
    double mostHedges = 5;
    double hedgeQuantile = 0.95;
    /// A hedge is sent after this multiple of the quantile. Well above 1 it answers silence alone:
    /// a lost answer, a frozen peer, a connection that was cut without notice.
    double hedgeFactor = 1;
    /// Hedges take from the retries that are saved up: a shared budget counts them all as repeats.
    bool areHedgesRetries = false;
    /// Latencies needed before the quantile is believed.
    std::uint32_t hedgeSamples = 50;
    Duration shortestHedgeDelay = std::chrono::milliseconds(1);
    /// No hedges while a larger share of the service's calls is refused.
    double hedgeRefusals = 0.02;
    /// Latencies are remembered for one to two windows.
    Duration window = std::chrono::seconds(5);

    /// Refused callers are spread around this time (by half of it) when few are refused …
    Duration retryAfter = std::chrono::milliseconds(200);
    /// … and around this time at most, however many are.
    Duration longestRetryAfter = std::chrono::seconds(5);
};

std::unique_ptr<IRetryPolicy> makeRetryPolicy(const RetryOptions &options);

} // namespace ivyspar
