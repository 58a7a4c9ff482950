#include "app/internal/looplag.h"

#include "app/tests/mocks/inlineeventloop.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

/// A loop whose timers run late, as those of a process that is short of processor time.
class LateLoop : public InlineEventLoop
{
public:
    TimerId callLater(Duration delay, std::function<void()> task) override
    {
        ++m_timerCount;
        return InlineEventLoop::callLater(delay + m_lateness, std::move(task));
    }
    void setLateness(Duration lateness) { m_lateness = lateness; }
    int timerCount() const { return m_timerCount; }

private:
    Duration m_lateness{ 0 };
    int m_timerCount = 0;
};

} // namespace

TEST_GROUP(LoopLag)
{
    LateLoop m_loop;
    LoopLag m_lag{ m_loop };

    Duration lagAfter(Duration time)
    {
        Duration lag{ 0 };
        for (Duration passed{ 0 }; passed < time; passed += 10ms) {
            lag = m_lag.now();
            m_loop.advance(10ms);
        }
        return lag;
    }
};

TEST(LoopLag, ALoopThatKeepsUpHasNone)
{
    CHECK(lagAfter(1s) == Duration::zero());
}

// Requests that lie unread for 0.8 s are taken for as old as they are, also before the timer that
// shows it has run.
TEST(LoopLag, ALoopThatIsBehindIsFoundOut)
{
    lagAfter(1s);
    m_loop.setLateness(800ms);
    lagAfter(150ms);
    CHECK(lagAfter(300ms) >= 200ms);
    CHECK(lagAfter(1s) >= 780ms);
}

TEST(LoopLag, ALagIsForgottenWhenTheLoopKeepsUpAgain)
{
    m_loop.setLateness(800ms);
    lagAfter(2s);
    m_loop.setLateness(0ms);
    lagAfter(1s);
    CHECK(lagAfter(100ms) == Duration::zero());
}

TEST(LoopLag, NobodyAsksNoTimerRuns)
{
    lagAfter(1s);
    m_loop.advance(1s);
    const int before = m_loop.timerCount();
    m_loop.advance(60s);
    CHECK_EQUAL(before, m_loop.timerCount());
}
