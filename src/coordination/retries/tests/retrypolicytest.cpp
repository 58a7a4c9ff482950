#include "coordination/retries/retrypolicyfactory.h"

#include <set>

#include <rapidcheck.h>

#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName SERVICE("scheda");

RetryQuery makeQuery(Outcome outcome, Reason reason, Repetition repetition = Repetition::Never)
{
    RetryQuery query;
    query.service = SERVICE;
    query.verdict = { outcome, reason, Duration(0) };
    query.repetition = repetition;
    query.remaining = 10s;
    return query;
}

RuleSpec lookupRule()
{
    RuleSpec rule;
    rule.service = SERVICE;
    rule.repetition = Repetition::Idempotent;
    rule.hedge = true;
    return rule;
}

/// Retries and hedges granted in a random run, beside the successes that earned them.
struct Spending
{
    double successes = 0;
    double retries = 0;
    double hedges = 0;
};

Spending spendAtRandom(const RetryOptions &options, std::uint64_t seed)
{
    const auto policy = makeRetryPolicy(options);
    SeededRandom random(seed);
    const std::uint64_t failing = random.below(100);
    Spending spending;
    for (int i = 0; i < 3000; ++i) {
        const TimePoint now{ 1s + i * 1ms };
        if (random.below(100) >= failing) {
            policy->onSuccess(now, SERVICE, 20ms);
            spending.successes += 1;
        } else {
            const auto query = makeQuery(Outcome::NotRun, Reason::ConnectFailed);
            spending.retries += policy->shouldRetry(now, query) ? 1 : 0;
        }
        spending.hedges += policy->tryTakeHedgeToken(now, SERVICE) ? 1 : 0;
    }
    return spending;
}

} // namespace

TEST_GROUP(RetryPolicy)
{
    TimePoint now{ 1s };

    bool isRetried(const RetryQuery &query, RetryOptions options = {})
    {
        return makeRetryPolicy(options)->shouldRetry(now, query);
    }
};

// All servers of a service are overloaded by calls of low priority, whose refusals have used up the
// retry tokens. A few calls of high priority fill the queue of one gate, and the last of them is
// refused. Another gate would displace a call of low priority for it; without a retry it would fail
// while calls of low priority are served.
TEST(RetryPolicy, HighPriorityCallIsRetriedWithoutTokensAfterAFullGate)
{
    const auto policy = makeRetryPolicy({});
    RetryQuery lowPriority = makeQuery(Outcome::NotRun, Reason::QueueFull);
    lowPriority.hasReachedUpstream = false;
    lowPriority.priority = Priority(1);
    while (policy->shouldRetry(now, lowPriority)) { }
    RetryQuery highPriority = lowPriority;
    highPriority.priority = Priority(3);
    for (int i = 0; i < 20; ++i) {
        CHECK(policy->shouldRetry(now, highPriority));
    }
    highPriority.attempts = 3;
    CHECK_FALSE(policy->shouldRetry(now, highPriority));
}

// If no call of lower priority was refused, there is none to displace, and further attempts would
// only add load to an overloaded service.
TEST(RetryPolicy, RetryNeedsATokenIfNoLowerPriorityIsRefused)
{
    const auto policy = makeRetryPolicy({});
    RetryQuery highPriority = makeQuery(Outcome::NotRun, Reason::QueueFull);
    highPriority.hasReachedUpstream = false;
    highPriority.priority = Priority(3);
    while (policy->shouldRetry(now, highPriority)) { }
    RetryQuery lowPriority = highPriority;
    lowPriority.priority = Priority(1);
    CHECK_FALSE(policy->shouldRetry(now, lowPriority));
    CHECK(policy->shouldRetry(now, highPriority));
    now += 6s;
    CHECK_FALSE(policy->shouldRetry(now, highPriority));
}

// Retries of calls that may have run are repeats, which are limited regardless of priority.
TEST(RetryPolicy, HighPriorityCallThatMayHaveRunNeedsAToken)
{
    const auto policy = makeRetryPolicy({});
    RetryQuery lowPriority = makeQuery(Outcome::NotRun, Reason::QueueFull);
    lowPriority.hasReachedUpstream = false;
    lowPriority.priority = Priority(1);
    while (policy->shouldRetry(now, lowPriority)) { }
    RetryQuery highPriority = makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Idempotent);
    highPriority.priority = Priority(3);
    CHECK_FALSE(policy->shouldRetry(now, highPriority));
}

TEST(RetryPolicy, RetriesCallsThatWereNotRun)
{
    for (const Repetition repetition :
         { Repetition::Never, Repetition::Once, Repetition::Idempotent }) {
        for (const Reason reason :
             { Reason::ConnectFailed, Reason::Draining, Reason::QueueFull, Reason::NoServer,
               Reason::UpstreamRefused, Reason::ShuttingDown }) {
            CHECK(isRetried(makeQuery(Outcome::NotRun, reason, repetition)));
        }
        for (const Reason reason :
             { Reason::BelowFloor, Reason::Doomed, Reason::DeadlineExceeded, Reason::BudgetSpent,
               Reason::Cancelled, Reason::LogUnavailable, Reason::KeyBusy }) {
            CHECK_FALSE(isRetried(makeQuery(Outcome::NotRun, reason, repetition)));
        }
    }
}

// The answer is lost after the upstream processed a payment. A retry would charge it twice.
TEST(RetryPolicy, RetriesCallsThatMayHaveRunOnlyIfIdempotent)
{
    CHECK(isRetried(makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Idempotent)));
    CHECK_FALSE(isRetried(makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Never)));
    CHECK_FALSE(isRetried(makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Once)));
    CHECK_FALSE(isRetried(makeQuery(Outcome::Answered, Reason::None, Repetition::Idempotent)));
}

TEST(RetryPolicy, OnlyTheHopNextToTheFailureRetries)
{
    RetryQuery upstreamError = makeQuery(Outcome::NotRun, Reason::ConnectFailed);
    upstreamError.isUpstreamError = true;
    CHECK_FALSE(isRetried(upstreamError));
    RetryOptions everyHop;
    everyHop.isNextHopOnly = false;
    CHECK(isRetried(upstreamError, everyHop));
}

TEST(RetryPolicy, LimitsTheAttemptsOfOneCall)
{
    RetryQuery query = makeQuery(Outcome::NotRun, Reason::ConnectFailed);
    query.attempts = RetryOptions().maxAttempts;
    CHECK_FALSE(isRetried(query));
}

TEST(RetryPolicy, DoesNotRetryIfTheDeadlineIsTooClose)
{
    const auto policy = makeRetryPolicy({});
    for (int i = 0; i < 10; ++i) {
        policy->onSuccess(now, SERVICE, 100ms);
    }
    RetryQuery query = makeQuery(Outcome::NotRun, Reason::ConnectFailed);
    query.remaining = 50ms;
    CHECK_FALSE(policy->shouldRetry(now, query));
    query.remaining = 300ms;
    CHECK(policy->shouldRetry(now, query));
}

TEST(RetryPolicy, RetriesAndHedgesStayWithinTheirShareOfSuccesses)
{
    const RetryOptions options;
    const bool holds = rc::check([&](std::uint64_t seed) {
        const Spending spending = spendAtRandom(options, seed);
        RC_ASSERT(spending.retries
                  <= options.initialRetryTokens + options.retryRatio * spending.successes + 1e-6);
        RC_ASSERT(spending.hedges <= options.hedgeRatio * spending.successes + 1e-6);
    });
    CHECK(holds);

    RetryOptions unbounded;
    unbounded.hasRetryTokens = false;
    const Spending spending = spendAtRandom(unbounded, 1);
    CHECK(spending.retries > options.initialRetryTokens + options.retryRatio * spending.successes);
}

TEST(RetryPolicy, HedgesAfterAHighQuantileOfRecentLatencies)
{
    const auto policy = makeRetryPolicy({});
    CHECK(policy->hedgeDelay(now, lookupRule()) == Duration(0));
    for (int i = 0; i < 1000; ++i) {
        policy->onSuccess(now, SERVICE, i % 20 == 0 ? 400ms : 20ms);
    }
    const Duration delay = policy->hedgeDelay(now, lookupRule());
    CHECK(delay >= 20ms);
    CHECK(delay <= 25ms);

    // Latencies of two windows ago no longer count.
    now += 2 * RetryOptions().window;
    for (int i = 0; i < 1000; ++i) {
        policy->onSuccess(now, SERVICE, 200ms);
    }
    CHECK(policy->hedgeDelay(now, lookupRule()) >= 200ms);
    CHECK(policy->hedgeDelay(now, lookupRule()) <= 230ms);
}

TEST(RetryPolicy, HedgesOnlyWhatTheRuleAllows)
{
    RetryOptions off;
    off.hasHedging = false;
    const auto policy = makeRetryPolicy({});
    const auto without = makeRetryPolicy(off);
    for (int i = 0; i < 1000; ++i) {
        policy->onSuccess(now, SERVICE, 20ms);
        without->onSuccess(now, SERVICE, 20ms);
    }
    RuleSpec rule = lookupRule();
    CHECK(policy->hedgeDelay(now, rule) > Duration(0));
    CHECK(without->hedgeDelay(now, rule) == Duration(0));
    rule.repetition = Repetition::Once;
    CHECK(policy->hedgeDelay(now, rule) == Duration(0));
    rule = lookupRule();
    rule.hedge = false;
    CHECK(policy->hedgeDelay(now, rule) == Duration(0));
}

// Answers of a service are lost silently. Hedges and retries are both repeats for the servers: with
// a shared budget, tokens must not be saved up twice.
TEST(RetryPolicy, HedgesOfASharedBudgetTakeRetryTokens)
{
    RetryOptions options;
    options.hedgesUseRetryTokens = true;
    options.initialRetryTokens = 0;
    const auto policy = makeRetryPolicy(options);
    // Ten tenths add up to a little less than one.
    for (int i = 0; i < 11; ++i) {
        policy->onSuccess(now, SERVICE, 20ms);
    }
    CHECK(policy->tryTakeHedgeToken(now, SERVICE));
    CHECK_FALSE(policy->tryTakeHedgeToken(now, SERVICE));
    CHECK_FALSE(policy->shouldRetry(
        now, makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Idempotent)));
}

TEST(RetryPolicy, HedgeFactorMultipliesTheHedgeDelay)
{
    RetryOptions options;
    options.hedgeFactor = 2;
    const auto policy = makeRetryPolicy(options);
    const auto plain = makeRetryPolicy({});
    for (int i = 0; i < 1000; ++i) {
        policy->onSuccess(now, SERVICE, 20ms);
        plain->onSuccess(now, SERVICE, 20ms);
    }
    const RuleSpec rule = lookupRule();
    CHECK(policy->hedgeDelay(now, rule) == 2 * plain->hedgeDelay(now, rule));
}

TEST(RetryPolicy, NoHedgesWhileCallsAreRefused)
{
    const auto policy = makeRetryPolicy({});
    SeededRandom random(1);
    for (int i = 0; i < 1000; ++i) {
        policy->onSuccess(now, SERVICE, 20ms);
    }
    CHECK(policy->tryTakeHedgeToken(now, SERVICE));
    for (int i = 0; i < 5; ++i) {
        policy->retryAfter(now, SERVICE, random);
    }
    CHECK_FALSE(policy->tryTakeHedgeToken(now, SERVICE));
}

TEST(RetryPolicy, RetryAfterGrowsWithTheShareOfRefusedCalls)
{
    const auto policy = makeRetryPolicy({});
    SeededRandom random(1);
    const Duration first = policy->retryAfter(now, SERVICE, random);
    CHECK(first < 400ms);
    for (int i = 0; i < 1000; ++i) {
        policy->retryAfter(now, SERVICE, random);
    }
    std::set<Duration> delays;
    for (int i = 0; i < 1000; ++i) {
        delays.insert(policy->retryAfter(now, SERVICE, random));
    }
    CHECK(*delays.rbegin() - *delays.begin() > 4s);
    CHECK(*delays.rbegin() <= 1.5 * RetryOptions().maxRetryAfter);
}

// All daemons of a large deployment lose answers of the same service, and each spends its saved
// tokens at the same moment. Together they may not exceed the slack that operators allow.
TEST(RetryPolicy, AllDaemonsTogetherStayWithinTheSharedTokens)
{
    RetryOptions options;
    options.initialRetryTokens = 0;
    options.sharedRetryTokens = 111;
    for (const std::size_t daemons : { 4, 16, 81, 790 }) {
        const auto policy = makeRetryPolicy(options);
        policy->setDaemonCount(daemons);
        for (int i = 0; i < 10000; ++i) {
            policy->onSuccess(now, SERVICE, 1ms);
        }
        double repeats = 0;
        while (policy->shouldRetry(
            now, makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Idempotent))) {
            ++repeats;
        }
        CHECK(repeats * static_cast<double>(daemons) <= options.sharedRetryTokens);
    }
}

// Daemons that start together save up tokens before they know each other. Tokens beyond the share
// of a daemon are dropped when it learns of the others.
TEST(RetryPolicy, TokensBeyondTheOwnShareAreDroppedWhenDaemonsAreFound)
{
    RetryOptions options;
    options.initialRetryTokens = 0;
    options.sharedRetryTokens = 64;
    const auto policy = makeRetryPolicy(options);
    for (int i = 0; i < 1000; ++i) {
        policy->onSuccess(now, SERVICE, 1ms);
    }
    policy->setDaemonCount(64);
    const auto query = makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Idempotent);
    CHECK(policy->shouldRetry(now, query));
    CHECK_FALSE(policy->shouldRetry(now, query));
}

// Two full gates refused a lookup, so it reached no server; the third gate received it and its link
// was lost. That is the first loss, so another server may be tried.
TEST(RetryPolicy, RefusalsBeforeALossDoNotUseUpItsAttempts)
{
    RetryOptions options;
    options.countsUpstreamAttemptsOnly = true;
    RetryQuery lost = makeQuery(Outcome::Unknown, Reason::LinkLost, Repetition::Idempotent);
    lost.attempts = 3;
    lost.upstreamAttempts = 1;
    CHECK(isRetried(lost, options));
    lost.upstreamAttempts = 3;
    CHECK_FALSE(isRetried(lost, options));
    lost.upstreamAttempts = 1;
    lost.attempts = options.maxTotalAttempts;
    CHECK_FALSE(isRetried(lost, options));
}

// Guards against calls that are refused for a lack of tokens, although a gate passed them on to
// another server.
TEST(RetryPolicy, CallThatWasPassedOnNeedsNoToken)
{
    RetryOptions options;
    options.initialRetryTokens = 0;
    RetryQuery query = makeQuery(Outcome::NotRun, Reason::QueueFull, Repetition::Never);
    query.hasReachedUpstream = false;
    CHECK_FALSE(isRetried(query, options));
    query.isPassedOn = true;
    CHECK(isRetried(query, options));
}
