#include "coordination/admission/internal/gradientlimit.h"
#include "coordination/admission/internal/probinglimit.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t CEILING = 80;
/// In µs.
constexpr double SERVICE_TIME = 20000;

/// Service time of a saturated upstream, in µs. Calls slow each other down beyond `knee`, unless it
/// is 0.
double serviceTimeAt(double concurrency, double knee)
{
    return knee > 0 ? SERVICE_TIME * (1 + std::pow(concurrency / knee, 2)) : SERVICE_TIME;
}

/// Keeps the limit saturated for a number of calls; returns the mean limit over the second half.
double saturate(IConcurrencyLimit &limit, TimePoint &now, double knee, double slowdown, int calls)
{
    const int warmUp = calls / 2;
    double sum = 0;
    for (int i = 0; i < calls; ++i) {
        const double time = slowdown * serviceTimeAt(limit.limit(), knee);
        now += Duration(std::llround(time / limit.limit()));
        limit.onSample(now, { CallResult::Success, Duration(std::llround(time)), limit.limit() });
        sum += i >= warmUp ? limit.limit() : 0;
    }
    return sum / (calls - warmUp);
}

/// Returns a limit after a phase of low load, so that it knows the fastest service time.
template <typename Limit> Limit makeWarm(TimePoint &now)
{
    Limit limit(1.0, 0.1);
    limit.setCeiling(CEILING);
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        limit.onSample(now, { CallResult::Success, Duration(std::llround(SERVICE_TIME)), 2 });
    }
    return limit;
}

} // namespace

TEST_GROUP(ConcurrencyLimit)
{
    TimePoint now{ 1s };
};

TEST(ConcurrencyLimit, ProbingKeepsTheLimitIfALowerOneCostsThroughput)
{
    auto probing = makeWarm<ProbingLimit>(now);
    CHECK(saturate(probing, now, 0, 5, 20000) > 0.95 * CEILING);

    // The gradient limit takes a slower upstream for one that queues internally.
    auto gradient = makeWarm<GradientLimit>(now);
    CHECK(saturate(gradient, now, 0, 5, 400) < 0.8 * CEILING);
}

TEST(ConcurrencyLimit, ProbingStartsNoTrialInAShortSlowPeriod)
{
    auto probing = makeWarm<ProbingLimit>(now);
    DOUBLES_EQUAL(CEILING, saturate(probing, now, 0, 5, 3000), 0.1); // 4 s
}

TEST(ConcurrencyLimit, ProbingLowersTheLimitIfCallsSlowEachOtherDown)
{
    auto probing = makeWarm<ProbingLimit>(now);
    const double limit = saturate(probing, now, 30, 1, 20000);
    CHECK(limit > 20);
    CHECK(limit < 45);
}

TEST(ConcurrencyLimit, ProbingReturnsToTheCeilingAfterRecovery)
{
    auto probing = makeWarm<ProbingLimit>(now);
    saturate(probing, now, 30, 1, 5000);
    CHECK(probing.limit() < CEILING / 2);
    saturate(probing, now, 0, 1, 20 * CEILING);
    LONGS_EQUAL(CEILING, probing.limit());
}

TEST(ConcurrencyLimit, UpstreamRefusalsLowerTheLimitOncePerRound)
{
    auto probing = makeWarm<ProbingLimit>(now);
    for (int i = 0; i < 50; ++i) {
        probing.onSample(now, { CallResult::Overloaded, 1ms, CEILING });
    }
    LONGS_EQUAL(72, probing.limit());
    now += 100ms;
    probing.onSample(now, { CallResult::Overloaded, 1ms, CEILING });
    LONGS_EQUAL(64, probing.limit());
}

TEST(ConcurrencyLimit, LimitStaysBetweenOneAndTheCeiling)
{
    ProbingLimit limit(0.5, 0.1);
    LONGS_EQUAL(0, limit.limit());
    limit.setCeiling(3);
    LONGS_EQUAL(1, limit.limit());
    for (int i = 0; i < 100; ++i) {
        now += 1s;
        limit.onSample(now, { CallResult::Overloaded, 1ms, 1 });
    }
    LONGS_EQUAL(1, limit.limit());
    saturate(limit, now, 0, 1, 500);
    LONGS_EQUAL(3, limit.limit());
}
