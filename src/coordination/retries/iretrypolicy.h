#pragma once

#include <cstddef>

#include "state/configuration.h"
#include "state/ids.h"
#include "state/irandom.h"
#include "state/outcome.h"
#include "state/time.h"

namespace ivyspar {

/// A failed attempt for which a retry is considered.
struct RetryQuery
{
    ServiceName service;
    Priority priority;
    Verdict verdict;
    Repetition repetition = Repetition::Never;
    /// Attempts of this call at this hop so far.
    std::uint32_t attempts = 1;
    /// Those of them that reached an upstream, or may have.
    std::uint32_t upstreamAttempts = 1;
    /// Time until the call's deadline.
    Duration remaining{ 0 };
    /// The failed attempt reached an upstream, or may have: the next one is a repeat there.
    bool hasReachedUpstream = true;
    /// A gate refused the first attempt because another server probably has a free slot.
    bool isPassedOn = false;
    /// The upstream answered with an error of its own or of an inner call. Only the hop next to
    /// the failure retries.
    bool isUpstreamError = false;
};

/// Decides on retries and hedges of an entry. Plain object.
class IRetryPolicy
{
public:
    virtual ~IRetryPolicy() = default;

    /// Returns whether to retry, and takes a retry token if one is needed.
    virtual bool shouldRetry(TimePoint now, const RetryQuery &query) = 0;
    /// How many daemons share `RetryOptions::sharedRetryTokens`, including this one.
    virtual void setDaemonCount(std::size_t daemons) = 0;
    /// Records that a first attempt succeeded, which earns the service fractions of a retry token
    /// and of a hedge token.
    virtual void onSuccess(TimePoint now, const ServiceName &service, Duration latency) = 0;
    /// Delay after which a second attempt may be sent in parallel; zero if none may.
    virtual Duration hedgeDelay(TimePoint now, const RuleSpec &rule) = 0;
    /// Takes a token for a hedge. False if none is left, or too many calls are refused.
    virtual bool tryTakeHedgeToken(TimePoint now, const ServiceName &service) = 0;
    /// Records a refusal and returns the delay after which the caller should retry, with jitter so
    /// that callers spread.
    virtual Duration retryAfter(TimePoint now, const ServiceName &service, IRandom &random) = 0;
};

} // namespace ivyspar
