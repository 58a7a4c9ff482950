#include <algorithm>

#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t PAGES = 200;
constexpr std::uint32_t RECORDS = 30;

} // namespace

struct RefusalOrderFixture : FailureTest
{

    /// Pages far beyond the capacity, then records on top. Returns the records that were refused.
    std::size_t refusedRecordCount(const std::vector<std::string> &flags)
    {
        startTrial(makeTrialGraph(), flags, false);
        CHECK(m_trial->setBehaviour("", R"({"slowdown":20})"));
        for (std::uint32_t i = 0; i < PAGES; ++i) {
            CallerPlan plan = m_trial->plan(m_page, "page-" + std::to_string(i), i);
            plan.attempts = 10;
            plan.pause = std::chrono::milliseconds(100);
            m_trial->callers().send(plan);
        }
        CHECK(waitUntil([this] { return m_trial->callers().attemptCount() >= PAGES; }));
        for (std::uint32_t i = 0; i < RECORDS; ++i) {
            m_trial->callers().send(m_trial->plan(m_record, "record-" + std::to_string(i), i));
        }
        const History history = m_trial->history();
        CHECK(countTold(history, Told::NotRun) > RECORDS);
        return static_cast<std::size_t>(std::count_if(
            history.actions.begin(), history.actions.end(), [this](const CallerAction &action) {
                return action.call.path == m_record.path
                    && action.attempts.back().told == Told::NotRun;
            }));
    }
};

TEST_GROUP_BASE(RefusalOrder, RefusalOrderFixture){};

// Three servers, 60 slots, 200 people who look through pages and come back when refused. Records
// that arrive on top must all be taken, while pages are refused: the queue is ordered by rank, and
// what is less important leaves it first.
TEST(RefusalOrder, RecordsAreAdmittedWhilePagesAreRefused)
{
    // Once: the check evaluates its argument again to print it, and that would be another run.
    const std::size_t refused = refusedRecordCount({});
    CHECK_EQUAL(0, refused);
}

// Counter-check: in the order of arrival, without ranks and floor, records are refused as well.
TEST(RefusalOrder, RecordsAreAlsoRefusedWithoutRanks)
{
    CHECK(refusedRecordCount({ "--ablate=rank,floor" }) > 0);
}
