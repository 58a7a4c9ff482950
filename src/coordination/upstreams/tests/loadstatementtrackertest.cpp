#include "coordination/upstreams/loadstatementtracker.h"

#include <cmath>

#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t SLOTS = 40;
constexpr WorkTimePercent SLOW{ 250 };

StatedLoad stated(std::uint32_t running, std::uint32_t waiting, WorkTimePercent workTime)
{
    return { running, waiting, SLOTS, workTime };
}

} // namespace

TEST_GROUP(LoadStatementTracker)
{
    TimePoint m_now{ 100s };
    LoadStatementTracker m_tracker;
    SeededRandom m_random{ 5 };

    /// Calls of random work that are answered while the server states that work time, and is as
    /// slow as `slowdown` says. Each answer carries the statement.
    void play(int calls, WorkTimePercent workTime, double slowdown)
    {
        for (int i = 0; i < calls; ++i) {
            m_tracker.onStatement(m_now, stated(10, 0, workTime), 10);
            const TrackedCall call = m_tracker.startCall(m_now, 10);
            const double workMs = 20 * (0.5 + m_random.unit());
            m_now += Duration(std::llround(workMs * slowdown * 1000));
            m_tracker.onSuccess(m_now, call);
            m_tracker.onStatement(m_now, stated(10, 0, workTime), 10);
        }
    }
    double speed() const
    {
        return toRatio(m_tracker.serverLoad().speed);
    }
    /// Sends calls beyond the slots that the server states to be free, each of which takes `time`,
    /// for `length`.
    void playFull(Duration length, Duration time)
    {
        for (const TimePoint end = m_now + length; m_now < end;) {
            const TrackedCall call = m_tracker.startCall(m_now, 10);
            m_now += time;
            m_tracker.onSuccess(m_now, call);
            m_tracker.onStatement(m_now, stated(SLOTS, 20, USUAL_WORK_TIME), 10);
        }
    }
};

TEST(LoadStatementTracker, TrueStatementsAreHeeded)
{
    play(100, USUAL_WORK_TIME, 1);
    play(20, SLOW, 2.5);
    DOUBLES_EQUAL(0.4, speed(), 0.08);
    play(100, USUAL_WORK_TIME, 1);
    DOUBLES_EQUAL(1, speed(), 0.01);
}

// Guards against a server that gets less work for good because it states to be slow and is not.
TEST(LoadStatementTracker, SlownessThatDoesNotShowInCallsIsIgnored)
{
    play(100, USUAL_WORK_TIME, 1);
    play(40, SLOW, 1);
    CHECK(speed() > 0.85);
    CHECK_FALSE(m_tracker.onStatement(m_now, stated(10, 0, SLOW), 10));
}

// Guards against a false statement that is believed again when the calls before it are forgotten.
TEST(LoadStatementTracker, LastingSlownessThatDoesNotShowInCallsIsIgnored)
{
    play(1000, USUAL_WORK_TIME, 1);
    play(40, SLOW, 1);
    for (int i = 0; i < 30; ++i) {
        play(100, SLOW, 1);
        CHECK(speed() > 0.85);
    }
}

// Guards against a server that gets little work for good because it states ever since its start
// that it is slow.
TEST(LoadStatementTracker, ConstantSlownessIsIgnored)
{
    play(3000, WorkTimePercent(1000), 1);
    CHECK(speed() > 0.85);
}

// Guards against a true statement that is ignored after a long time at one speed.
TEST(LoadStatementTracker, TrueStatementsAreHeededAfterALongTimeAtTheUsualSpeed)
{
    play(3000, USUAL_WORK_TIME, 1);
    play(20, SLOW, 2.5);
    DOUBLES_EQUAL(0.4, speed(), 0.1);
}

// Guards against a server that attracts work by stating to be fast.
TEST(LoadStatementTracker, FasterThanUsualCountsAsUsual)
{
    m_tracker.onStatement(m_now, stated(0, 0, WorkTimePercent(20)), 10);
    CHECK(m_tracker.serverLoad().speed == USUAL_SPEED);
}

// Guards against a server that attracts work by stating to be idle: its gate's own calls count.
TEST(LoadStatementTracker, FewerCallsThanTheGateHasSentChangeNothing)
{
    m_tracker.onStatement(m_now, stated(0, 0, USUAL_WORK_TIME), 30);
    DOUBLES_EQUAL(0, m_tracker.serverLoad().otherCalls, 0);
}

TEST(LoadStatementTracker, CallsOfOthersAreCounted)
{
    m_tracker.onStatement(m_now, stated(30, 5, USUAL_WORK_TIME), 10);
    DOUBLES_EQUAL(24, m_tracker.serverLoad().otherCalls, 0);
}

// Guards against a server that stays without work because it states to be full and is idle.
TEST(LoadStatementTracker, CallsOfOthersThatDelayNobodyAreIgnored)
{
    play(100, USUAL_WORK_TIME, 1);
    playFull(600ms, 20ms);
    playFull(1s, 20ms);
    DOUBLES_EQUAL(0, m_tracker.serverLoad().otherCalls, 0);
    playFull(3s, 20ms);
    DOUBLES_EQUAL(0, m_tracker.serverLoad().otherCalls, 0);
}

TEST(LoadStatementTracker, CallsOfOthersThatDelayOwnCallsStayHeeded)
{
    play(100, USUAL_WORK_TIME, 1);
    playFull(600ms, 20ms);
    playFull(1s, 60ms);
    CHECK(m_tracker.serverLoad().otherCalls > 40);
}

// Guards against an old statement that holds after the server has changed.
TEST(LoadStatementTracker, StatementCountsLessWithItsAge)
{
    m_tracker.onStatement(m_now, stated(30, 5, SLOW), 10);
    const ServerLoad &load = m_tracker.serverLoad();
    DOUBLES_EQUAL(0.4, load.relativeSpeed(m_now), 0.01);
    DOUBLES_EQUAL(0.7, load.relativeSpeed(m_now + 500ms), 0.01);
    DOUBLES_EQUAL(12, load.otherCallsAt(m_now + 500ms), 0.1);
    CHECK(load.speedAt(m_now + 1s) == SpeedShare());
    DOUBLES_EQUAL(1, load.relativeSpeed(m_now + 1s), 0);
    DOUBLES_EQUAL(0, load.otherCallsAt(m_now + 1s), 0);
}

// Guards against decisions that change in deployments whose servers state three figures.
TEST(LoadStatementTracker, StatementWithoutWorkTimeIsOnlyShown)
{
    CHECK(m_tracker.onStatement(m_now, { 40, 9, SLOTS, std::nullopt }, 0));
    CHECK(m_tracker.newest()->waiting == 9);
    CHECK_FALSE(m_tracker.hasStatedSpeed());
    CHECK_FALSE(m_tracker.serverLoad().isKnown(m_now));
}

TEST(LoadStatementTracker, ImplausibleStatementIsIgnored)
{
    m_tracker.onStatement(m_now, stated(30, 0, USUAL_WORK_TIME), 10);
    CHECK_FALSE(m_tracker.onStatement(m_now + 1ms, stated(SLOTS + 1, 0, SLOW), 10));
    CHECK_FALSE(m_tracker.onStatement(m_now + 1ms, stated(1, 0, WorkTimePercent(1)), 10));
    CHECK(m_tracker.statedAt() == m_now);
    CHECK(m_tracker.serverLoad().speed == USUAL_SPEED);
}

TEST(LoadStatementTracker, TellsSinceWhenTheServerIsSlow)
{
    const TimePoint start = m_now;
    play(20, USUAL_WORK_TIME, 1);
    CHECK(m_tracker.unchangedSince() == start);
    const TimePoint slowSince = m_now;
    play(5, WorkTimePercent(240), 2.4);
    play(5, WorkTimePercent(260), 2.6);
    CHECK(m_tracker.unchangedSince() == slowSince);
}
