#include "app/internal/logs/logbudget.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;

namespace {

Decision makeDecision(std::uint64_t root, Importance importance)
{
    Decision decision;
    decision.kind = importance == Importance::Routine ? DecisionKind::Admit : DecisionKind::Refuse;
    decision.importance = importance;
    decision.root = RootId(root);
    return decision;
}

} // namespace

TEST_GROUP(LogBudget)
{
    TimePoint m_now{ std::chrono::seconds(10) };
    LogBudgetOptions m_options{ 100, 40 };
    LogBudget m_budget{ m_options };

    std::size_t take(std::size_t count, Importance importance)
    {
        std::size_t taken = 0;
        for (std::size_t i = 0; i < count; ++i) {
            taken += m_budget.take(m_now, makeDecision(i + 1, importance)) ? 1 : 0;
        }
        return taken;
    }
};

// Under a burst each request produces routine lines. Refusals, which operators ask about, must
// still be written.
TEST(LogBudget, RoutineLinesLeaveRoomForEssentialLines)
{
    CHECK_EQUAL(40, take(1000, Importance::Routine));
    CHECK_EQUAL(60, take(1000, Importance::Essential));
}

TEST(LogBudget, NoSecondHasMoreLinesThanAllowed)
{
    for (int second = 0; second < 5; ++second) {
        CHECK(take(500, Importance::Essential) + take(500, Importance::Routine) <= 100);
        m_now += milliseconds(1000);
    }
}

TEST(LogBudget, SuppressedLinesAreReportedInTheNextSecond)
{
    take(45, Importance::Routine);
    take(70, Importance::Essential);
    CHECK(m_budget.takeSuppressed(m_now).empty());
    m_now += milliseconds(1001);
    const SuppressedCounts suppressed = m_budget.takeSuppressed(m_now);
    CHECK_EQUAL(5, suppressed.at("admit"));
    CHECK_EQUAL(10, suppressed.at("refuse"));
    CHECK(m_budget.takeSuppressed(m_now).empty());
}

// A request passes through several daemons that all exceed their budget. To trace it by its id,
// either all of them must write its lines or none.
TEST(LogBudget, DaemonsKeepTheLinesOfTheSameRequests)
{
    LogBudget other{ m_options };
    std::set<std::uint64_t> here;
    std::set<std::uint64_t> there;
    for (int second = 0; second < 2; ++second) {
        here.clear();
        there.clear();
        for (std::uint64_t i = 1; i <= 100; ++i) {
            if (m_budget.take(m_now, makeDecision(i, Importance::Routine))) {
                here.insert(i);
            }
            if (other.take(m_now, makeDecision(101 - i, Importance::Routine))) {
                there.insert(101 - i);
            }
        }
        m_now += milliseconds(1001);
    }
    CHECK(here.size() > 20);
    CHECK(here == there);
}
