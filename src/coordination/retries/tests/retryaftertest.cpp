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

TEST(RetryAfter, AnEarlyReturnStaysAsItIs)
{
    CHECK(boundRetryAfter(300ms, 1200ms, m_random) == Duration(300ms));
    CHECK(boundRetryAfter(3s, 0ms, m_random) == Duration(3s));
}

// Callers with an objective of 0.12 s cannot be in time when they come back. Sent back at once they
// would find the service as full as it was, and their tries used up.
TEST(RetryAfter, AShortObjectiveBoundsNothing)
{
    CHECK(boundRetryAfter(800ms, 120ms, m_random) == Duration(800ms));
    CHECK(boundRetryAfter(800ms, 500ms, m_random) == Duration(800ms));
}

// 1. A narrow service can take a fifth of what is asked. Refused callers are spread over 1.5 s, as
//    that many times the capacity arrives.
// 2. One that comes back after 1 s and is let in is answered past its objective of 1.2 s: all that
//    was done for it earns it a third.
TEST(RetryAfter, ALateReturnIsBroughtWithinTheObjective)
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
