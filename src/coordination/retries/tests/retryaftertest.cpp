#include "coordination/retries/retryafter.h"

#include <algorithm>

#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(RetryAfter)
{
    SeededRandom m_random{ 3 };
};

TEST(RetryAfter, ShortDelayIsUnchanged)
{
    CHECK(boundRetryAfter(300ms, 1200ms, m_random) == Duration(300ms));
    CHECK(boundRetryAfter(3s, 0ms, m_random) == Duration(3s));
}

// Callers with an objective of 0.12 s cannot meet it with a retry. With a very short delay they
// would find the service still full, and use up their attempts.
TEST(RetryAfter, ShortObjectiveDoesNotBoundTheDelay)
{
    CHECK(boundRetryAfter(800ms, 120ms, m_random) == Duration(800ms));
    CHECK(boundRetryAfter(800ms, 500ms, m_random) == Duration(800ms));
}

// A service can handle a fifth of its load, so refused callers are spread over 1.5 s. A caller that
// returns after 1 s and is admitted is answered after its objective of 1.2 s, and such a late
// answer is worth only a third to it.
TEST(RetryAfter, LongDelayIsBoundedByTheObjective)
{
    Duration earliest = 10s;
    Duration latest{ 0 };
    for (int i = 0; i < 1000; ++i) {
        const Duration back = boundRetryAfter(1s, 1200ms, m_random);
        earliest = std::min(earliest, back);
        latest = std::max(latest, back);
    }
    CHECK(latest <= 600ms);
    CHECK(earliest >= 300ms);
    CHECK(latest - earliest > 250ms);
}
