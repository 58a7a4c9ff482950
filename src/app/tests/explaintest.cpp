#include "app/internal/commands/explaintext.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const char ENTRY_LOG[] =
    R"({"time":"2026-12-02T10:00:00.100Z","daemon":"d1","event":"route","request":"00000000000000aa","service":"shop","attempt":1,"choice":"d2"}
{"time":"2026-12-02T10:00:00.400Z","daemon":"d1","event":"answer","request":"00000000000000aa","service":"shop","outcome":"answered","took_ms":300.0,"status":500.0}
{"time":"2026-12-02T10:00:00.500Z","daemon":"d1","event":"answer","request":"00000000000000bb","service":"shop","outcome":"answered","took_ms":9.0,"status":200.0}
)";
const char GATE_LOG[] =
    R"(12.3 host-2 {"time":"2026-12-02T10:00:00.110Z","daemon":"d2","event":"admit","request":"00000000000000aa","service":"shop"}
12.4 host-2 some other text
12.5 host-2 {"time":"2026-12-02T10:00:00.300Z","daemon":"d2","event":"refuse","request":"00000000000000aa","call":"00000000000000cc","service":"stock","outcome":"not-run","reason":"queue-full","in_flight":4,"queued":4,"limit":4,"left_ms":90.5}
)";

std::string refusal(const char *inputs)
{
    return R"({"time":"2026-12-02T10:00:00.100Z","daemon":"d1","event":"refuse","request":"00000000000000aa","service":"shop","outcome":"not-run",)"
        + std::string(inputs) + "}\n";
}

} // namespace

TEST_GROUP(Explain){
    std::string explain(const std::string &id,
                        const std::vector<std::string> &logs){ RequestHistory history(id);
for (const std::string &log : logs) {
    std::istringstream stream(log);
    history.findRoot(stream);
}
for (const std::string &log : logs) {
    std::istringstream stream(log);
    history.collect("file", stream);
}
return toExplanation(history);
}
}
;

// Guards against refusals whose cause operators find only in the server's own logs.
TEST(Explain, RefusalForARateLimitNamesTheLimit)
{
    const std::string text = explain(
        "00000000000000aa",
        { refusal(R"("reason":"rate-limited","waited_ms":0.0,"queued":2,"rate_per_s":20.0)"),
          refusal(R"("reason":"rate-limited")") });
    STRCMP_CONTAINS("rate-limited: the server states that it takes only so many requests a second "
                    "(20.0 a second; queued 2)",
                    text.c_str());
}

// Guards against refusals of which operators cannot see in whose favour they were.
TEST(Explain, RefusalForAnotherCallNamesThatCall)
{
    const std::string text = explain(
        "00000000000000aa",
        { refusal(
              R"("reason":"queue-full","waited_ms":0.0,"in_flight":4,"queued":4,"limit":4,"left_ms":90.5,"slack_ms":-3.5,"choice":"00000000000000dd","detail":"in favour of rule notice, priority 90")"),
          refusal(R"("reason":"queue-full")") });
    STRCMP_CONTAINS("slack -3.5 ms: its objective could no longer be met; refused in favour of "
                    "rule notice, priority 90, request 00000000000000dd)",
                    text.c_str());
}

// A request failed with 500. The entry's log shows only the server's error; the cause is in the log
// of another host, where a call was refused by a full gate.
TEST(Explain, FailureIsTracedToTheLostCall)
{
    const std::string text = explain("00000000000000aa", { ENTRY_LOG, GATE_LOG });
    STRCMP_CONTAINS("request 00000000000000aa, 4 lines", text.c_str());
    STRCMP_CONTAINS(
        "Cause: answered with 500 after 300.0 ms: its server failed after a call of its "
        "tree failed: at d2, service stock: queue-full",
        text.c_str());
    STRCMP_CONTAINS("(in flight 4 of 4, queued 4, left 90.5 ms)", text.c_str());
    CHECK(text.find("00000000000000bb") == std::string::npos);
    CHECK(text.find("admit") < text.find("refuse"));
}

// Three servers of a chain respond with errors. The one that failed first, at the end of the chain,
// is the cause; the others only propagated the error.
TEST(Explain, FirstErrorOfAChainIsTheCause)
{
    const std::string log =
        R"({"time":"2026-12-02T10:00:00.100Z","daemon":"d3","event":"run","request":"00000000000000aa","service":"stock","choice":"i-3","outcome":"answered","status":500.0}
{"time":"2026-12-02T10:00:00.200Z","daemon":"d2","event":"run","request":"00000000000000aa","service":"shop","choice":"i-2","outcome":"answered","status":500.0}
{"time":"2026-12-02T10:00:00.300Z","daemon":"d1","event":"answer","request":"00000000000000aa","service":"shop","took_ms":200.0,"status":500.0}
)";
    STRCMP_CONTAINS("the first error of its tree came from i-3, service stock, beside d3",
                    explain("00000000000000aa", { log }).c_str());
}

// A request failed because one of its calls was lost. The calls still in flight were then cancelled
// and must not be reported as the cause.
TEST(Explain, CancelledCallsAreNotTheCause)
{
    const std::string log =
        R"({"time":"2026-12-02T10:00:00.100Z","daemon":"d2","event":"run","request":"00000000000000aa","service":"stock","outcome":"unknown","reason":"broken-answer"}
{"time":"2026-12-02T10:00:00.200Z","daemon":"d2","event":"run","request":"00000000000000aa","service":"stock","outcome":"unknown","reason":"cancelled"}
{"time":"2026-12-02T10:00:00.300Z","daemon":"d1","event":"answer","request":"00000000000000aa","service":"shop","took_ms":200.0,"status":500.0}
{"time":"2026-12-02T10:00:00.400Z","daemon":"d2","event":"run","request":"00000000000000aa","service":"stock","outcome":"unknown","reason":"link-lost"}
)";
    STRCMP_CONTAINS("service stock: broken-answer", explain("00000000000000aa", { log }).c_str());
}

TEST(Explain, CallIdFindsItsRequest)
{
    STRCMP_CONTAINS("request 00000000000000aa, 4 lines",
                    explain("00000000000000cc", { ENTRY_LOG, GATE_LOG }).c_str());
}

TEST(Explain, RootRefusalShowsLoadAndItsAge)
{
    const std::string log =
        R"({"time":"2026-12-02T10:00:00.100Z","daemon":"d1","event":"refuse","request":"00000000000000aa","service":"shop","choice":"stock","outcome":"not-run","reason":"below-floor","share":0.5,"load":2.0,"load_age_ms":35.0})";
    STRCMP_CONTAINS("(service stock: load 2.0, reported 35.0 ms before; share admitted 0.5)",
                    explain("00000000000000aa", { log + "\n" }).c_str());
}

TEST(Explain, RefusalForTheShareOfAnAccountNamesItsPart)
{
    STRCMP_CONTAINS(
        "(account acme asks for 8.0 slots of service stock here, its fair part is 0.8; share "
        "admitted of this account 0.1, of all 0.7; load 1.5)",
        explain("00000000000000aa",
                { refusal(R"("reason":"below-floor","choice":"stock","account":"acme",)"
                          R"("share":0.7,"load":1.5,"account_demand_slots":8.0,)"
                          R"("account_fair_slots":0.8,"account_share":0.1)") })
            .c_str());
}

TEST(Explain, RefusalForLossOrLagShowsItsInputs)
{
    STRCMP_CONTAINS(
        "too few of its call trees complete now; share admitted 0.03",
        explain("00000000000000aa",
                { refusal(R"("reason":"below-floor","share":1.2,"odds":0.03,"load":0.7)") })
            .c_str());
    STRCMP_CONTAINS(
        "the daemon was 240.5 ms behind",
        explain("00000000000000aa", { refusal(R"("reason":"queue-full","lag_ms":240.5)") })
            .c_str());
}

TEST(Explain, NamesTheFingerprintOfARequestInQuarantine)
{
    STRCMP_CONTAINS(
        "such requests crash servers, so they are no longer run (fingerprint 4f00, crashes 3",
        explain("00000000000000aa",
                { refusal(R"("reason":"quarantined","crashes":3,"fingerprint":"4f00")") })
            .c_str());
}

TEST(Explain, OnlyStateChangesNearTheRequestAreShown)
{
    const std::string log = std::string(ENTRY_LOG)
        + R"({"time":"2026-12-02T09:59:59.500Z","daemon":"d2","event":"upstream","outcome":"stop","reason":"draining"}
{"time":"2026-12-02T09:50:00.000Z","daemon":"d2","event":"upstream","outcome":"serve","reason":"old"}
)";
    const std::string text = explain("00000000000000aa", { log });
    STRCMP_CONTAINS("reason=draining", text.c_str());
    CHECK(text.find("reason=old") == std::string::npos);
}

// If lines were suppressed or a file is truncated, the output must say that the logs are
// incomplete.
TEST(Explain, IncompleteLogsAreReported)
{
    const std::string log = std::string(ENTRY_LOG)
        + R"({"time":"2026-12-02T10:00:01.000Z","daemon":"d1","event":"suppressed","lines":{"admit":7,"run":2}}
{"time":"2026-12-02T10:00:01.)";
    const std::string text = explain("00000000000000aa", { log });
    STRCMP_CONTAINS("by 1 daemons: admit 7, run 2. Lines of this request may be among them.",
                    text.c_str());
    STRCMP_CONTAINS("note: file ends in the middle of a line", text.c_str());
    STRCMP_CONTAINS("the logs name no error below it", text.c_str());
    STRCMP_CONTAINS("no line of request 00000000000000ee",
                    explain("00000000000000ee", { log }).c_str());
    STRCMP_CONTAINS("holds no line of a decision log", explain("00000000000000ee", { "" }).c_str());
}

TEST(Explain, LinesThatAreNotEventsAreIgnored)
{
    for (const char *log : { "{", "{}\n", "[1]\n", "{\"event\":1,\"time\":\"x\"}\n", "\xff{\n" }) {
        STRCMP_CONTAINS("no line of request", explain("00000000000000aa", { log }).c_str());
    }
}
