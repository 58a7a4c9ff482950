#include <algorithm>

#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t PAGES = 200;
constexpr std::uint32_t RECORDS = 30;

} // namespace

struct RefusalOrderFixture : FailureTest
{

    /// Overloads the servers with pages, then sends records as well. Returns the number of records
    /// that were refused.
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

// Three servers with 60 slots get page requests from 200 callers that retry when refused. Records
// that arrive during the overload must all be admitted while pages are refused: the queue is
// ordered by rank, and less important requests are removed first.
TEST(RefusalOrder, RecordsAreAdmittedWhilePagesAreRefused)
{
    // CHECK_EQUAL may evaluate its arguments again to print them, which would repeat the run.
    const std::size_t refused = refusedRecordCount({});
    CHECK_EQUAL(0, refused);
}

// Counter-check: in order of arrival, without ranks and priority floor, records are refused too.
TEST(RefusalOrder, RecordsAreAlsoRefusedWithoutRanks)
{
    CHECK(refusedRecordCount({ "--ablate=rank,floor" }) > 0);
}
