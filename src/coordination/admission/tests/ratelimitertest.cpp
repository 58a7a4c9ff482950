#include "coordination/admission/internal/ratelimiter.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(RateLimiter)
{
    TimePoint m_now{ 100s };
    RateLimiter m_limiter;
    std::deque<TimePoint> m_taken;

    void limit(std::uint64_t thousandths)
    {
        m_limiter.setLimit(m_now, RequestRate(thousandths));
    }
    /// Takes all tokens that there are, every `step`. Returns the number taken.
    std::size_t takeFor(Duration length, Duration step = 1ms)
    {
        std::size_t count = 0;
        for (const TimePoint end = m_now + length; m_now < end; m_now += step) {
            while (m_limiter.tryTake(m_now)) {
                ++count;
                m_taken.push_back(m_now);
            }
        }
        return count;
    }
};

TEST(RateLimiter, UsesTheWholeLimit)
{
    limit(55000);
    CHECK(takeFor(10s) >= 549);
    CHECK(m_taken.size() <= 551);
}

// Guards against tokens that accumulate while nobody asks, or while the process is stopped.
TEST(RateLimiter, IdleTimeGivesNoBurst)
{
    limit(20000);
    m_now += 1h;
    const std::size_t count = takeFor(4s);
    CHECK(count >= 80);
    CHECK(count <= 91);
}

// Guards against a daemon that is restarted again and again and spends a full bucket each time.
TEST(RateLimiter, BeginsWithoutTokens)
{
    limit(20000);
    CHECK_FALSE(m_limiter.tryTake(m_now));
    m_now += 50ms;
    CHECK(m_limiter.tryTake(m_now));
}

// Guards against a limit of 0 that is never lifted because no request is sent that could learn it.
TEST(RateLimiter, LimitOfZeroLetsSingleRequestsPass)
{
    limit(0);
    CHECK_EQUAL(0, takeFor(1900ms));
    CHECK_EQUAL(5, takeFor(8200ms));
}

// Guards against tokens that are created by changing the limit.
TEST(RateLimiter, ChangesCreateNoTokens)
{
    limit(20000);
    for (int i = 0; i < 1000; ++i) {
        limit(i % 2 == 0 ? 20000 : 30000);
        takeFor(10ms);
    }
    CHECK(m_taken.size() <= 266);
}

TEST(RateLimiter, ChargedRequestsDelayTheNextOnes)
{
    limit(10000);
    m_now += 100ms;
    m_limiter.charge(m_now);
    m_limiter.charge(m_now);
    CHECK_FALSE(m_limiter.tryTake(m_now + 190ms));
    CHECK(m_limiter.timeUntil(m_now, 1) == Duration(200ms));
    CHECK(m_limiter.tryTake(m_now + 200ms));
}

TEST(RateLimiter, WithoutLimitThereIsAlwaysAToken)
{
    CHECK(m_limiter.tryTake(m_now));
    limit(1000);
    CHECK_FALSE(m_limiter.tryTake(m_now));
    m_limiter.setLimit(m_now, std::nullopt);
    CHECK(m_limiter.tryTake(m_now));
    CHECK(m_limiter.timeUntil(m_now, 5) == Duration::zero());
}
