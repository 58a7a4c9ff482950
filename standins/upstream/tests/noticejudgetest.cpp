#include "standins/upstream/noticejudge.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using namespace std::chrono_literals;

TEST_GROUP(NoticeJudge)
{
    TimePoint m_now{ 100s };
    NoticeJudge m_judge;

    void arrive(int count, Duration gap)
    {
        for (int i = 0; i < count; ++i) {
            m_judge.onArrival(m_now);
            m_now += gap;
        }
    }
};

TEST(NoticeJudge, FindsMoreThanHalfAsMuchAgainAndFive)
{
    m_judge.onResponse(m_now, 2, false);
    m_now += 501ms;
    arrive(17, 100ms);
    CHECK(m_judge.violations().empty());
    arrive(1, 100ms);
    CHECK_EQUAL(1, m_judge.violations().size());
}

TEST(NoticeJudge, AllowsTheRateForAnyTime)
{
    m_judge.onResponse(m_now, 2, false);
    arrive(200, 500ms);
    CHECK(m_judge.violations().empty());
}

TEST(NoticeJudge, CountsNothingBeforeTheStatementOrAfterItIsLifted)
{
    arrive(100, 1ms);
    m_judge.onResponse(m_now, 0, false);
    arrive(100, 1ms);
    m_judge.onResponse(m_now, std::nullopt, false);
    m_now += 1s;
    arrive(100, 1ms);
    CHECK(m_judge.violations().empty());
    CHECK_EQUAL(300, m_judge.arrivals());
}

TEST(NoticeJudge, FindsAnArrivalAfterTheServerSaidThatItLeaves)
{
    m_judge.onResponse(m_now, std::nullopt, true);
    m_now += 900ms;
    arrive(1, 200ms);
    CHECK(m_judge.violations().empty());
    arrive(1, 0ms);
    CHECK_EQUAL(1, m_judge.violations().size());
    m_judge.startRun();
    arrive(1, 0ms);
    CHECK_EQUAL(1, m_judge.violations().size());
}
