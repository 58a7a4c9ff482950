#pragma once

#include <map>
#include <unordered_map>

#include "coordination/retries/internal/latencywindow.h"
#include "coordination/retries/iretrypolicy.h"
#include "coordination/retries/retrypolicyfactory.h"

namespace ivyspar {

class RetryPolicy : public IRetryPolicy
{
public:
    explicit RetryPolicy(const RetryOptions &options);

    bool shouldRetry(TimePoint now, const RetryQuery &query) override;
    void onSuccess(TimePoint now, const ServiceName &service, Duration latency) override;
    void setDaemonCount(std::size_t daemons) override;
    Duration hedgeDelay(TimePoint now, const RuleSpec &rule) override;
    bool tryTakeHedgeToken(TimePoint now, const ServiceName &service) override;
    Duration retryAfter(TimePoint now, const ServiceName &service, IRandom &random) override;

private:
    struct Service
    {
        explicit Service(const RetryOptions &options);

        double retryTokens = 0;
        double hedgeTokens = 0;
        /// Recent share of calls that were refused.
        double refusedShare = 0;
        LatencyWindow latencies;
        /// When a call of that priority was last refused by a full gate.
        std::map<Priority, TimePoint> refusedAt;
    };

    /// Maximum number of retry tokens of a service in this daemon.
    double maxRetryTokens() const;
    Service &serviceOf(const ServiceName &name);
    bool needsNoToken(TimePoint now, const Service &service, const RetryQuery &query) const;
    bool outranksOthers(TimePoint now, const Service &service, const RetryQuery &query) const;
    bool hasUsedUpAttempts(const RetryQuery &query) const;
    bool isRetryable(const RetryQuery &query) const;

    RetryOptions m_options;
    std::size_t m_daemons = 0;
    std::unordered_map<ServiceName, Service> m_services;
};

} // namespace ivyspar
