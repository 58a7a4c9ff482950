#include "app/internal/commands/failuresummary.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const char ENTRY_LOG[] =
    R"({"time":"2026-12-02T10:00:00.100Z","daemon":"d1","event":"answer","request":"00000000000000a1","service":"shop","outcome":"answered","took_ms":9.0,"status":200.0}
{"time":"2026-12-02T10:00:00.200Z","daemon":"d1","event":"refuse","request":"00000000000000a2","service":"shop","choice":"stock","outcome":"not-run","reason":"below-floor","share":0.5,"load":2.0,"load_age_ms":35.0}
{"time":"2026-12-02T10:00:01.200Z","daemon":"d1","event":"refuse","request":"00000000000000a3","service":"shop","choice":"stock","outcome":"not-run","reason":"below-floor","share":0.4,"load":2.5,"load_age_ms":15.0}
{"time":"2026-12-02T10:00:01.300Z","daemon":"d1","event":"answer","request":"00000000000000a4","service":"shop","outcome":"answered","took_ms":300.0,"status":500.0}
)";
const char GATE_LOG[] =
    R"(12.5 host-2 {"time":"2026-12-02T10:00:01.250Z","daemon":"d2","event":"refuse","request":"00000000000000a4","call":"00000000000000c1","service":"stock","outcome":"not-run","reason":"queue-full","in_flight":4,"queued":4,"limit":4,"left_ms":90.5}
{"time":"2026-12-02T10:00:01.260Z","daemon":"d2","event":"refuse","request":"00000000000000a4","call":"00000000000000c2","service":"stock","outcome":"not-run","reason":"cancelled","waited_ms":3.0}
{"time":"2026-12-02T10:00:02.000Z","daemon":"d2","event":"suppressed","lines":{"admit":7,"run":2}}
)";

} // namespace

TEST_GROUP(FailureSummary)
{
    FailureSummary m_summary;

    void read(const std::vector<std::string> &logs)
    {
        for (const std::string &log : logs) {
            std::istringstream stream(log);
            m_summary.findFailed(stream);
        }
        for (const std::string &log : logs) {
            std::istringstream stream(log);
            m_summary.collect(stream);
        }
    }
};

// Most requests were refused because of one overloaded service, and one lost a call to it. Refusals
// of calls at that service's gate must not be counted as requests of callers.
TEST(FailureSummary, GroupsFailedRequestsByTheirCause)
{
    read({ ENTRY_LOG, GATE_LOG });
    const std::vector<FailureGroup> groups = m_summary.groups();
    CHECK_EQUAL(2, groups.size());
    STRCMP_EQUAL("shop, not-run: below-floor for the load of stock", groups[0].cause.c_str());
    CHECK_EQUAL(2, groups[0].count);
    CHECK_EQUAL(2, groups[0].seconds.size());
    STRCMP_EQUAL("00000000000000a2", groups[0].example.c_str());
    STRCMP_EQUAL("shop, answered with 500: a call to stock ended with queue-full",
                 groups[1].cause.c_str());
    CHECK_EQUAL(1, groups[1].count);
}

TEST(FailureSummary, ShowsCountsWorstSecondsAndSuppressedLines)
{
    read({ ENTRY_LOG, GATE_LOG });
    const std::string text = toSummary(m_summary);
    STRCMP_CONTAINS("4 requests of callers ended, 3 failed (75.0%)", text.c_str());
    STRCMP_CONTAINS("Worst seconds: 10:00:01 2 of 2, 10:00:00 1 of 2.", text.c_str());
    STRCMP_CONTAINS("9 lines were suppressed", text.c_str());
    CHECK(text.find("queue-full") > text.find("below-floor"));
}

// If the log of the gate's host is missing, no cause may be invented.
TEST(FailureSummary, ReportsThatTheCauseIsUnknown)
{
    read({ ENTRY_LOG });
    STRCMP_CONTAINS("shop, answered with 500: the logs name no error below it",
                    toSummary(m_summary).c_str());
}

TEST(FailureSummary, LogsWithoutFailuresOrEvents)
{
    read({ "rubbish\n{\"event\":\"answer\"}\n{\"event\":1,\"time\":\"answer\"}\n" });
    STRCMP_EQUAL("0 requests of callers ended, 0 failed (0.0%)\n", toSummary(m_summary).c_str());
    CHECK(m_summary.groups().empty());
}
