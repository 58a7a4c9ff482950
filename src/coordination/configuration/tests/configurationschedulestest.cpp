#include <algorithm>

#include "coordination/configuration/configurationdigest.h"
#include "coordination/configuration/configurationstatemachinefactory.h"
#include "coordination/configuration/internal/pollschedule.h"
#include "coordination/configuration/internal/snapshotschedule.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

ConfigurationRecord makeRecord(ConfigurationRecord::Kind kind, std::uint64_t base,
                               std::uint64_t position)
{
    ConfigurationRecord record;
    record.kind = kind;
    record.base = ConfigurationVersion(base);
    record.digest = configurationDigest("", "");
    record.position = LogOffset(position);
    return record;
}

} // namespace

TEST_GROUP(PollSchedule)
{
    PollSettings m_settings;
    PollSchedule m_schedule{ m_settings };
    SeededRandom m_random{ 3 };
};

TEST(PollSchedule, SelectsConfiguredNumberOfFastPollers)
{
    constexpr int DAEMONS = 200;
    std::vector<DaemonId> daemons;
    daemons.reserve(DAEMONS);
    for (int i = 0; i < DAEMONS; ++i) {
        daemons.emplace_back("host-" + std::to_string(i));
    }
    std::vector<DaemonId> fast;
    for (const DaemonId &self : daemons) {
        if (isFastPoller(self, daemons, 2)) {
            fast.push_back(self);
        }
    }
    CHECK_EQUAL(2, fast.size());
    daemons.erase(std::find(daemons.begin(), daemons.end(), fast[0]));
    CHECK(isFastPoller(fast[1], daemons, 2));
    CHECK(isFastPoller(DaemonId("alone"), {}, 2));
}

TEST(PollSchedule, FastPollerPausesAfterImmediateEmptyPage)
{
    m_schedule.setFast(true);
    CHECK(m_schedule.longPollTimeout() == m_settings.longPoll);
    CHECK(m_schedule.onPage(true, true, Duration(0), m_random) == m_settings.fastInterval);
    CHECK(m_schedule.onPage(true, true, m_settings.longPoll, m_random) == Duration::zero());
    CHECK(m_schedule.onPage(false, true, Duration(0), m_random) == Duration::zero());
}

TEST(PollSchedule, SlowPollerReadsToTheEndThenWaits)
{
    CHECK(m_schedule.longPollTimeout() == Duration::zero());
    CHECK(m_schedule.onPage(false, false, Duration(0), m_random) == Duration::zero());
    for (int i = 0; i < 100; ++i) {
        const Duration pause = m_schedule.onPage(true, true, Duration(0), m_random);
        CHECK(pause >= m_settings.slowInterval / 2);
        CHECK(pause <= m_settings.slowInterval * 3 / 2);
    }
}

// Guards against overload of the log by retries: each daemon must retry less often as an outage
// lasts, and the daemons must not all return at the same time.
TEST(PollSchedule, BackoffGrowsWithJitterDuringOutage)
{
    m_schedule.setFast(true);
    const Duration first = m_schedule.onFailure(m_random);
    CHECK(first <= m_settings.firstBackoff * 3 / 2);
    CHECK(m_schedule.longPollTimeout() == Duration::zero());
    for (int i = 0; i < 100; ++i) {
        m_schedule.onFailure(m_random);
    }
    Duration least = m_settings.maxBackoff * 2;
    Duration most{ 0 };
    for (int i = 0; i < 100; ++i) {
        const Duration pause = m_schedule.onFailure(m_random);
        least = std::min(least, pause);
        most = std::max(most, pause);
    }
    CHECK(least < m_settings.maxBackoff * 3 / 4);
    CHECK(most > m_settings.maxBackoff);
    CHECK(most <= m_settings.maxBackoff * 3 / 2);
    m_schedule.onPage(true, true, Duration(0), m_random);
    CHECK(m_schedule.onFailure(m_random) <= m_settings.firstBackoff * 3 / 2);
}

// Guards against a change that is applied too late because no peer announces it and the connection
// to the log is dead.
TEST(PollSchedule, WorstCaseDelayStaysWithinApplyDeadline)
{
    for (const bool isFast : { true, false }) {
        m_schedule.setFast(isFast);
        Duration longest{ 0 };
        for (int i = 0; i < 1000; ++i) {
            const Duration pause = m_schedule.onPage(true, true, Duration(0), m_random);
            const Duration lost = m_schedule.longPollTimeout() + m_settings.readTimeout;
            const Duration retry = m_schedule.onFailure(m_random);
            longest = std::max(longest, pause + lost + retry + m_settings.readTimeout);
        }
        CHECK(longest <= m_settings.applyWithin);
        for (int i = 0; i < 1000; ++i) {
            const Duration inOutage = m_settings.readTimeout + m_schedule.onFailure(m_random);
            CHECK(inOutage + m_settings.readTimeout <= m_settings.applyWithin);
        }
    }
}

TEST(PollSchedule, TotalSharedReadRateIsIndependentOfDaemonCount)
{
    const auto readsIn = [this](std::size_t daemons) {
        Duration pauses{ 0 };
        for (std::size_t i = 0; i < daemons; ++i) {
            pauses += drawSharedReadPause(std::chrono::milliseconds(400), daemons, m_random);
        }
        const Duration mean = pauses / static_cast<Duration::rep>(daemons);
        return static_cast<double>(daemons) * (minutes(1) / 1.0 / mean);
    };
    DOUBLES_EQUAL(150, readsIn(10), 60);
    DOUBLES_EQUAL(150, readsIn(1000), 10);
}

// A daemon that lost contact with all others relies on the log alone and must read it often.
TEST(PollSchedule, SingleDaemonReadsEveryInterval)
{
    for (int i = 0; i < 100; ++i) {
        CHECK(drawSharedReadPause(std::chrono::milliseconds(400), 0, m_random)
              <= std::chrono::milliseconds(600));
    }
}

TEST_GROUP(SnapshotSchedule)
{
    SnapshotSettings m_settings;
    SnapshotSchedule m_schedule{ m_settings };
    SeededRandom m_random{ 4 };
    std::unique_ptr<IConfigurationStateMachine> m_stateMachine = makeConfigurationStateMachine();
    TimePoint m_now{ std::chrono::hours(100) };

    bool updateAndCheckDue(std::uint64_t first, bool isFast = true)
    {
        return m_schedule.updateAndCheckDue(m_now, *m_stateMachine, LogOffset(first),
                                            m_stateMachine->nextOffset(), isFast, m_random);
    }
    /// Time until an append is due, checked each second; at most five hours.
    Duration waitForAppend(std::uint64_t first, bool isFast = true)
    {
        const TimePoint start = m_now;
        while (!updateAndCheckDue(first, isFast) && m_now - start < std::chrono::hours(5)) {
            m_now += seconds(1);
        }
        return m_now - start;
    }
    void appendSnapshot()
    {
        const std::uint64_t next = m_stateMachine->nextOffset().value();
        m_stateMachine->apply(LogOffset(next),
                              makeRecord(ConfigurationRecord::Kind::Snapshot, 1, next));
    }
    void appendChange()
    {
        m_stateMachine->apply(LogOffset(0), makeRecord({}, 0, 0));
    }
};

TEST(SnapshotSchedule, AppendsNothingBeforeTheFirstVersion)
{
    CHECK(waitForAppend(0) == std::chrono::hours(5));
}

TEST(SnapshotSchedule, RenewsWellWithinRetention)
{
    appendChange();
    CHECK(waitForAppend(0) <= m_settings.retention / 4 + m_settings.jitter + seconds(1));
    for (int i = 0; i < 20; ++i) {
        appendSnapshot();
        updateAndCheckDue(0);
        const Duration wait = waitForAppend(0);
        CHECK(wait >= m_settings.retention / 4);
        CHECK(wait <= m_settings.retention / 4 + m_settings.jitter + seconds(1));
    }
}

TEST(SnapshotSchedule, SlowPollersWaitLonger)
{
    appendChange();
    updateAndCheckDue(0, false);
    appendSnapshot();
    updateAndCheckDue(0, false);
    CHECK(waitForAppend(0, false) >= m_settings.retention / 2);
}

TEST(SnapshotSchedule, SnapshotOfAnotherDaemonCancelsRenewal)
{
    appendChange();
    for (int i = 0; i < 100; ++i) {
        updateAndCheckDue(0);
        appendSnapshot();
        updateAndCheckDue(0);
        m_now += m_settings.retention / 4;
        updateAndCheckDue(0);
        appendSnapshot();
        m_now += m_settings.jitter;
        CHECK_FALSE(updateAndCheckDue(0));
    }
}

TEST(SnapshotSchedule, RenewsWhenAnchorIsTruncatedOrInOlderHalf)
{
    appendChange();
    updateAndCheckDue(0);
    appendSnapshot();
    updateAndCheckDue(0);
    CHECK(waitForAppend(5) <= m_settings.jitter + seconds(1));
    appendSnapshot();
    for (std::uint64_t i = m_stateMachine->nextOffset().value(); i < 40; ++i) {
        m_stateMachine->skip(LogOffset(i));
    }
    updateAndCheckDue(0);
    CHECK_FALSE(updateAndCheckDue(0));
    CHECK(waitForAppend(1) <= m_settings.jitter + seconds(1));
}

// A daemon that missed records could otherwise append a snapshot of an outdated version.
TEST(SnapshotSchedule, AppendsNothingWithoutLogState)
{
    appendChange();
    m_stateMachine->apply(LogOffset(50), makeRecord({}, 1, 0));
    CHECK(m_stateMachine->logState() == nullptr);
    CHECK(waitForAppend(50) == std::chrono::hours(5));
}
