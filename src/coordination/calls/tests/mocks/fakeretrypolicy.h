#pragma once

#include "coordination/retries/iretrypolicy.h"

namespace ivyspar {

/// Retries everything that is safe to repeat; hedges after `hedgeAfter` if that is not zero.
class FakeRetryPolicy : public IRetryPolicy
{
public:
    bool mayRetry = true;
    Duration hedgeAfter{ 0 };
    Duration retryDelay = std::chrono::milliseconds(40);
    int successes = 0;
    RetryQuery lastQuery;

    bool shouldRetry(TimePoint /*now*/, const RetryQuery &query) override
    {
        lastQuery = query;
        const bool isSafe =
            query.verdict.outcome == Outcome::NotRun || query.repetition == Repetition::Idempotent;
        return mayRetry && isSafe;
    }
    void onSuccess(TimePoint /*now*/, const ServiceName & /*service*/,
                   Duration /*latency*/) override
    {
        ++successes;
    }
    void setDaemonCount(std::size_t /*daemons*/) override { }
    Duration hedgeDelay(TimePoint /*now*/, const RuleSpec & /*rule*/) override
    {
        return hedgeAfter;
    }
    bool tryTakeHedgeToken(TimePoint /*now*/, const ServiceName & /*service*/) override
    {
        return true;
    }
    Duration retryAfter(TimePoint /*now*/, const ServiceName & /*service*/,
                        IRandom & /*random*/) override
    {
        return retryDelay;
    }
};

} // namespace ivyspar
