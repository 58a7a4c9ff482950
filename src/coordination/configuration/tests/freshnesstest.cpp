#include <set>

#include "coordination/configuration/internal/freshness.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Freshness)
{
    FreshnessOptions m_options;
    Freshness m_freshness{ m_options };
    SeededRandom m_random{ 5 };
    TimePoint m_now{ seconds(50) };
};

TEST(Freshness, WorstCaseDelayStaysWithinApplyDeadline)
{
    CHECK(m_options.maxAge() + m_options.readTimeout + m_options.margin <= m_options.applyWithin);
    // After an outage of the log: the time-out of the pending read, or the longest backoff.
    CHECK(std::max(m_options.readTimeout, m_options.maxRetryInterval) <= m_options.applyWithin);
}

TEST(Freshness, ReadsAtOnceWithoutConfirmation)
{
    CHECK(m_freshness.nextRead() <= m_now);
    CHECK(m_freshness.isStale(m_now));
    CHECK_FALSE(m_freshness.age(m_now).has_value());
}

TEST(Freshness, SchedulesNextReadWithinMaxAge)
{
    std::set<TimePoint> times;
    for (int i = 0; i < 100; ++i) {
        m_now += milliseconds(10);
        CHECK(m_freshness.confirm(m_now, m_now, m_random));
        CHECK(m_freshness.nextRead() >= m_now + m_options.maxAge() / 2);
        CHECK(m_freshness.nextRead() <= m_now + m_options.maxAge());
        CHECK_FALSE(m_freshness.isStale(m_freshness.nextRead() - milliseconds(1)));
        times.insert(m_freshness.nextRead());
    }
    CHECK(times.size() > 90);
}

TEST(Freshness, OlderConfirmationIsIgnored)
{
    m_freshness.confirm(m_now, m_now, m_random);
    const TimePoint next = m_freshness.nextRead();
    CHECK_FALSE(m_freshness.confirm(m_now, m_now - milliseconds(1), m_random));
    CHECK(m_freshness.nextRead() == next);
}

// Guards against a peer whose clock is ahead: its confirmation would otherwise suppress reads of
// the log for a long time.
TEST(Freshness, FutureConfirmationIsClampedToNow)
{
    m_freshness.confirm(m_now, m_now + seconds(60), m_random);
    CHECK(m_freshness.nextRead() <= m_now + m_options.maxAge());
}

TEST(Freshness, ReadsAtOnceAfterExpiry)
{
    m_freshness.confirm(m_now, m_now, m_random);
    m_freshness.expire();
    CHECK(m_freshness.nextRead() <= m_now);
    CHECK(m_freshness.confirm(m_now, m_now, m_random));
    CHECK(m_freshness.nextRead() > m_now);
}

// Guards against a change that is applied too late because of a single dead connection.
TEST(Freshness, FirstRetryIsImmediate)
{
    m_freshness.confirm(m_now, m_now, m_random);
    const TimePoint startedAt = m_freshness.nextRead();
    m_freshness.onReadFailed(startedAt, m_random);
    CHECK(m_freshness.nextRead() <= startedAt);
}

TEST(Freshness, RetryIntervalsGrowToTheMaximum)
{
    for (int i = 0; i < 20; ++i) {
        m_freshness.onReadFailed(m_now, m_random);
        CHECK(m_freshness.nextRead() <= m_now + m_options.maxRetryInterval);
    }
    CHECK(m_freshness.nextRead() >= m_now + m_options.maxRetryInterval / 2);
    m_freshness.confirm(m_now, m_now, m_random);
    m_freshness.onReadFailed(m_now, m_random);
    CHECK(m_freshness.nextRead() <= m_now + m_options.maxAge());
}
