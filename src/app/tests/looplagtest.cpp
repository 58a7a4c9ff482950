#include "app/internal/looplag.h"

#include "app/tests/mocks/lateeventloop.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(LoopLag)
{
    LateEventLoop m_loop;
    LoopLag m_lag{ m_loop };

    Duration lagAfter(Duration time)
    {
        Duration lag{ 0 };
        for (Duration passed{ 0 }; passed < time; passed += 10ms) {
            lag = m_lag.current();
            m_loop.advance(10ms);
        }
        return lag;
    }
};

TEST(LoopLag, LoopThatKeepsUpHasNoLag)
{
    CHECK(lagAfter(1s) == Duration::zero());
}

// If the loop is 0.8 s late, requests may have waited unread for that long: the lag must show it,
// even before the delayed timer has fired.
TEST(LoopLag, DelayedLoopIsDetected)
{
    lagAfter(1s);
    m_loop.setLateness(800ms);
    lagAfter(150ms);
    CHECK(lagAfter(300ms) >= 200ms);
    CHECK(lagAfter(1s) >= 780ms);
}

TEST(LoopLag, LagIsClearedWhenTheLoopKeepsUpAgain)
{
    m_loop.setLateness(800ms);
    lagAfter(2s);
    m_loop.setLateness(0ms);
    lagAfter(1s);
    CHECK(lagAfter(100ms) == Duration::zero());
}

TEST(LoopLag, NoTimerRunsWithoutQueries)
{
    lagAfter(1s);
    m_loop.advance(1s);
    const int before = m_loop.timerCount();
    m_loop.advance(60s);
    CHECK_EQUAL(before, m_loop.timerCount());
}
