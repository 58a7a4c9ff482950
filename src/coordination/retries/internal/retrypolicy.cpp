#include "coordination/retries/internal/retrypolicy.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// Weight of one call in the share of refused calls.
constexpr double REFUSED_WEIGHT = 0.02;
constexpr double MAX_REFUSED_SHARE = 0.99;
constexpr double MEDIAN = 0.5;

/// Whether another server, or the same one shortly later, may accept a call that was not run.
bool mayRunElsewhere(Reason reason)
{
    switch (reason) {
    case Reason::QueueFull:
    case Reason::NoServer: // Reported by a daemon whose upstream is gone.
    case Reason::Draining:
    case Reason::ConnectFailed:
    case Reason::UpstreamRefused:
    case Reason::LinkLost:
    case Reason::ShuttingDown:
    case Reason::RateLimited:
    case Reason::Suspected:
    case Reason::Quarantined: // A server of another version may accept it.
        return true;
    default:
        // The other reasons hold for the whole request (deadline, budget, key) or the whole service
        // (floor, no server): a retry would only add load.
        return false;
    }
}

/// Whether a gate refused the call because others took its server's slots or rate limit.
bool isOutranked(Reason reason)
{
    return reason == Reason::QueueFull || reason == Reason::RateLimited;
}

bool isSafeToRepeat(const RetryQuery &query)
{
    switch (query.verdict.outcome) {
    case Outcome::NotRun:
        return mayRunElsewhere(query.verdict.reason);
    case Outcome::Unknown:
        return query.repetition == Repetition::Idempotent
            && query.verdict.reason != Reason::Cancelled
            && query.verdict.reason != Reason::DeadlineExceeded;
    case Outcome::Answered:
        // An upstream's error is its answer. It is retried only without `isNextHopOnly`.
        return query.isUpstreamError && query.repetition == Repetition::Idempotent;
    }
    return false;
}

} // namespace

std::unique_ptr<IRetryPolicy> makeRetryPolicy(const RetryOptions &options)
{
    return std::make_unique<RetryPolicy>(options);
}

RetryPolicy::Service::Service(const RetryOptions &options)
    : retryTokens(options.initialRetryTokens)
    , latencies(options.window)
{
}

RetryPolicy::RetryPolicy(const RetryOptions &options)
    : m_options(options)
{
}

void RetryPolicy::setDaemonCount(std::size_t daemons)
{
    m_daemons = daemons;
    for (auto &[name, service] : m_services) {
        service.retryTokens = std::min(service.retryTokens, maxRetryTokens());
    }
}

double RetryPolicy::maxRetryTokens() const
{
    if (m_options.sharedRetryTokens <= 0) {
        return m_options.maxRetryTokens;
    }
    return m_options.sharedRetryTokens
        / static_cast<double>(std::max(m_daemons, m_options.minDaemons));
}

RetryPolicy::Service &RetryPolicy::serviceOf(const ServiceName &name)
{
    return m_services.try_emplace(name, m_options).first->second;
}

bool RetryPolicy::needsNoToken(TimePoint now, const Service &service, const RetryQuery &query) const
{
    if (query.hasReachedUpstream) {
        return false;
    }
    return query.isPassedOn || m_options.countsUpstreamAttemptsOnly
        || outranksOthers(now, service, query);
}

/// Whether a full gate recently refused a call of lower priority. The retry then needs no token:
///
/// 1. A service is overloaded, and refusals of less important calls have used up the retry tokens.
/// 2. A few important calls fill the queue of one gate, and the rest of them are refused, although
///    every other gate would displace a less important call for them.
/// 3. As there are calls to displace, another gate accepts the call. At most
///    `RetryOptions::maxAttempts` attempts are made in all.
bool RetryPolicy::outranksOthers(TimePoint now, const Service &service,
                                 const RetryQuery &query) const
{
    if (!isOutranked(query.verdict.reason)) {
        return false;
    }
    const auto end = service.refusedAt.lower_bound(query.priority);
    return std::any_of(service.refusedAt.begin(), end, [&](const auto &refused) {
        return now - refused.second < m_options.window;
    });
}

/// Refusals that cost no token must not use up the attempts meant for losses: otherwise a call that
/// two full gates refused would fail with the first lost link.
bool RetryPolicy::hasUsedUpAttempts(const RetryQuery &query) const
{
    if (!m_options.countsUpstreamAttemptsOnly) {
        return query.attempts >= m_options.maxAttempts;
    }
    return query.attempts >= m_options.maxTotalAttempts
        || (query.hasReachedUpstream && query.upstreamAttempts >= m_options.maxAttempts);
}

bool RetryPolicy::isRetryable(const RetryQuery &query) const
{
    if (!m_options.hasRetries || hasUsedUpAttempts(query)) {
        return false;
    }
    // If each of n hops made three attempts, the last service would see 3ⁿ of them.
    if (query.isUpstreamError && m_options.isNextHopOnly) {
        return false;
    }
    return isSafeToRepeat(query);
}

bool RetryPolicy::shouldRetry(TimePoint now, const RetryQuery &query)
{
    Service &service = serviceOf(query.service);
    if (isOutranked(query.verdict.reason)) {
        service.refusedAt[query.priority] = now;
    }
    if (!isRetryable(query)) {
        return false;
    }
    if (query.remaining <= service.latencies.quantile(MEDIAN)) {
        return false;
    }
    if (!m_options.hasRetryTokens || needsNoToken(now, service, query)) {
        return true;
    }
    if (service.retryTokens < 1) {
        return false;
    }
    service.retryTokens -= 1;
    return true;
}

void RetryPolicy::onSuccess(TimePoint now, const ServiceName &service, Duration latency)
{
    Service &known = serviceOf(service);
    known.retryTokens = std::min(known.retryTokens + m_options.retryRatio, maxRetryTokens());
    known.hedgeTokens =
        std::min(known.hedgeTokens + m_options.hedgeRatio, m_options.maxHedgeTokens);
    known.refusedShare *= 1 - REFUSED_WEIGHT;
    known.latencies.add(now, latency);
}

Duration RetryPolicy::hedgeDelay(TimePoint /*now*/, const RuleSpec &rule)
{
    if (!m_options.hasHedging || !rule.hedge || rule.repetition != Repetition::Idempotent) {
        return Duration(0);
    }
    const Service &service = serviceOf(rule.service);
    if (service.latencies.count() < m_options.minHedgeSamples) {
        return Duration(0);
    }
    const Duration usual = service.latencies.quantile(m_options.hedgeQuantile);
    const auto delay = m_options.hedgeFactor * static_cast<double>(usual.count());
    return std::max(m_options.minHedgeDelay, Duration(std::llround(delay)));
}

bool RetryPolicy::tryTakeHedgeToken(TimePoint /*now*/, const ServiceName &service)
{
    Service &known = serviceOf(service);
    // Under overload all calls are slow: hedges would add load and help none.
    double &tokens = m_options.hedgesUseRetryTokens ? known.retryTokens : known.hedgeTokens;
    if (known.refusedShare > m_options.maxHedgeRefusedShare || tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

Duration RetryPolicy::retryAfter(TimePoint /*now*/, const ServiceName &service, IRandom &random)
{
    Service &known = serviceOf(service);
    known.refusedShare += REFUSED_WEIGHT * (1 - known.refusedShare);
    // With a share r refused, 1 / (1 - r) times the capacity arrives. Callers that return over that
    // multiple of the base delay arrive at about the rate that can be served.
    const double excess = 1 / (1 - std::min(known.refusedShare, MAX_REFUSED_SHARE));
    const auto baseUs = static_cast<double>(m_options.retryAfter.count());
    const auto maxUs = static_cast<double>(m_options.maxRetryAfter.count());
    const double meanUs = std::min(baseUs * excess, maxUs);
    return Duration(static_cast<Duration::rep>(meanUs * (0.5 + random.unit())));
}

} // namespace ivyspar
