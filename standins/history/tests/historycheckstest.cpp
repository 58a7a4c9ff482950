#include "standins/history/historychecks.h"
#include "standins/graph/trials.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar::lab;

/// Each property: a history that keeps it, and the smallest change that breaks it.
TEST_GROUP(HistoryChecks)
{
    const CallGraph m_graph = makeTrialGraph();
    const GraphCall m_booking{ "desk", "POST", "/bookings" };
    History m_history;

    void setup() override
    {
        CallerAction action;
        action.token = "t1";
        action.call = m_booking;
        action.isOnce = true;
        action.budget = 3;
        action.attempts = { { Told::Unknown, 502, "link-lost", "" },
                            { Told::Answered, 200, "", wholeAnswer(m_graph, m_booking, "t1") } };
        m_history.actions = { action };
        m_history.starts = { { "desk-1", "desk", "/bookings", "t1" } };
        m_history.versions["desk-1"] = { 0, 1, 1, 2 };
    }
    void startAgain()
    {
        m_history.starts.push_back({ "desk-2", "desk", "/bookings", "t1" });
    }
};

TEST(HistoryChecks, AcceptARightHistory)
{
    STRCMP_EQUAL("", join(checkAll(m_history, m_graph)).c_str());
    CHECK_EQUAL(1, countStarts(m_history, "t1"));
}

TEST(HistoryChecks, FindASecondRun)
{
    startAgain();
    CHECK_EQUAL(1, checkOnce(m_history).size());
    m_history.actions[0].isOnce = false;
    CHECK_EQUAL(0, checkOnce(m_history).size());
}

TEST(HistoryChecks, FindAFalseNotRun)
{
    m_history.actions[0].attempts = { { Told::NotRun, 503, "draining", "" } };
    CHECK_EQUAL(1, checkNotRun(m_history).size());
    m_history.starts.clear();
    CHECK_EQUAL(0, checkNotRun(m_history).size());
}

TEST(HistoryChecks, FindMoreAttemptsThanTheBudget)
{
    m_history.actions[0].budget = 2;
    startAgain();
    CHECK_EQUAL(0, checkBudget(m_history).size());
    startAgain();
    CHECK_EQUAL(1, checkBudget(m_history).size());
}

TEST(HistoryChecks, FindAForeignAnswerAnAnswerThatWasCutOffAndOneWithoutARun)
{
    std::string &body = m_history.actions[0].attempts[1].body;
    const std::string whole = body;
    body.pop_back();
    CHECK_EQUAL(1, checkAnswers(m_history, m_graph).size());
    body = wholeAnswer(m_graph, m_booking, "t2");
    CHECK_EQUAL(1, checkAnswers(m_history, m_graph).size());
    body = whole;
    m_history.starts.clear();
    CHECK_EQUAL(1, checkAnswers(m_history, m_graph).size());
}

TEST(HistoryChecks, FindAVersionThatReverts)
{
    m_history.versions["desk-2"] = { 1, 2, 1 };
    CHECK_EQUAL(1, checkVersions(m_history).size());
}
