#pragma once

#include <cstddef>

#include "state/configuration.h"
#include "state/ids.h"
#include "state/irandom.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

struct RetryQuery
{
    ServiceName service;
    Priority priority;
    Verdict verdict;
    Repetition repetition = Repetition::Never;
    /// Attempts made of this call at this hop so far.
    std::uint32_t attempts = 1;
    /// Of these, those that reached an upstream, or may have.
    std::uint32_t upstreamAttempts = 1;
    Duration remaining{ 0 };
    /// The attempt that failed reached an upstream, or may have: the next one is a repeat there.
    bool hasReachedUpstream = true;
    /// The failure came from a call below the upstream: only the hop next to it retries.
    bool isUpstreamError = false;
};

/// Decides on retries and hedges of an entry. Plain object.
class IRetryPolicy
{
public:
    virtual ~IRetryPolicy() = default;

    virtual bool shouldRetry(TimePoint now, const RetryQuery &query) = 0;
    /// How many daemons draw on the shared slack, this one included.
    virtual void setDaemonCount(std::size_t daemons) = 0;
    /// A first attempt succeeded: earns the service a share of a retry token.
    virtual void onSuccess(TimePoint now, const ServiceName &service, Duration latency) = 0;
    /// After which time a second attempt may be sent in parallel; zero when none may.
    virtual Duration hedgeDelay(TimePoint now, const RuleSpec &rule) = 0;
    /// Takes a token of the hedging share. False when the share is used up.
    virtual bool tryTakeHedgeToken(TimePoint now, const ServiceName &service) = 0;
    /// When a refused caller is to come back, jittered so that callers spread.
    virtual Duration retryAfter(TimePoint now, const ServiceName &service, IRandom &random) = 0;
};

} // namespace ivyspar
