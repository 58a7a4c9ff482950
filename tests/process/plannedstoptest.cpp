#include <csignal>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t REQUESTS = 45;

} // namespace

struct PlannedStopFixture : FailureTest
{

    void sendRecords(const std::string &prefix)
    {
        for (std::uint32_t i = 0; i < REQUESTS; ++i) {
            CallerPlan plan = m_trial->plan(m_record, prefix + std::to_string(i), i);
            plan.attempts = 20;
            m_trial->callers().send(plan);
        }
    }
    bool isGateIdleAndDraining(std::size_t host)
    {
        const auto answer = exchangeBlocking(m_trial->host(host).operators,
                                             { "GET", "/status", {}, {} }, seconds(5));
        const auto status = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
        if (!status.is_object() || status["gates"].empty()) {
            return false;
        }
        const auto &gate = status["gates"][0];
        return gate["draining"] == true && gate["in_flight"] == 0 && gate["queued"] == 0;
    }
};

TEST_GROUP_BASE(PlannedStop, PlannedStopFixture){};

// 1. A server announces that it drains while it runs requests.
// 2. Its requests complete normally. After that it receives no request from any daemon.
TEST(PlannedStop, ADrainingServerCompletesItsRequestsAndReceivesNoNewOnes)
{
    startTrial(makeTrialGraph(), {}, false);
    CHECK(m_trial->setBehaviour("", R"({"slowdown":10})"));
    sendRecords("before-");
    CHECK(waitUntil([this] { return startCountAt("desk-1") > 0; }));
    CHECK(m_trial->setBehaviour("desk-1", R"({"draining":true})"));
    CHECK(waitUntil([this] { return isGateIdleAndDraining(0); }));
    const std::size_t startsBefore = startCountAt("desk-1");
    sendRecords("after-");
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    CHECK_EQUAL(2 * REQUESTS, countServed(history));
    STRCMP_EQUAL("", reasonsOf(history, Told::Unknown).c_str());
    CHECK_EQUAL(startsBefore, startCountAt("desk-1"));
}

// A daemon receives SIGTERM with requests in flight, both from its own callers and from other
// daemons to its server. None is interrupted, and the daemon exits with code 0.
TEST(PlannedStop, SigtermInterruptsNoRequest)
{
    startTrial(makeTrialGraph(), {}, false);
    CHECK(m_trial->setBehaviour("", R"({"slowdown":20})"));
    sendRecords("record-");
    CHECK(waitUntil([this] { return startCountAt("desk-1") > 0; }));
    m_trial->host(0).process.signal(SIGTERM);
    CHECK_EQUAL(0, m_trial->host(0).process.wait(seconds(30)));
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    STRCMP_EQUAL("", reasonsOf(history, Told::Unknown).c_str());
    CHECK_EQUAL(REQUESTS, countServed(history));
}

// Two concurrent events: the daemon is stopped while the platform's log does not respond.
TEST(PlannedStop, SigtermWhileTheLogIsUnresponsiveInterruptsNoRequest)
{
    startTrial(makeTrialGraph());
    CHECK(m_trial->setBehaviour("", R"({"slowdown":20})"));
    CHECK(m_trial->setLogFaults(R"({"silent":true})"));
    sendRecords("record-");
    CHECK(waitUntil([this] { return startCountAt("desk-1") > 0; }));
    m_trial->host(0).process.signal(SIGTERM);
    CHECK_EQUAL(0, m_trial->host(0).process.wait(seconds(30)));
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    STRCMP_EQUAL("", reasonsOf(history, Told::Unknown).c_str());
}

// Counter-check: if the daemon is killed instead, requests are interrupted and the check detects
// it.
TEST(PlannedStop, SigkillInterruptsRequests)
{
    startTrial(makeTrialGraph(), {}, false);
    CHECK(m_trial->setBehaviour("", R"({"slowdown":20})"));
    sendRecords("record-");
    CHECK(waitUntil([this] { return startCountAt("desk-1") > 0; }));
    m_trial->host(0).process.signal(SIGKILL);
    CHECK(countTold(m_trial->history(), Told::Unknown) > 0);
}

// 1. Requests are in flight whose chains of eight calls alternate between two daemons.
// 2. One daemon is stopped. Its server makes the remaining calls of these requests through it, so
// it
//    must accept them until the requests have completed.
TEST(PlannedStop, SigtermDuringCallChainsInterruptsNoRequest)
{
    constexpr std::uint32_t DEPTH = 8;
    // Each chain holds up to eight slots of the same service; a cold gate admits a hundred.
    constexpr std::uint32_t CHAINS = 10;
    startTrial(makeChainGraph(DEPTH), {}, false);
    CHECK(m_trial->setBehaviour("", R"({"slowdown":30})"));
    for (std::uint32_t i = 0; i < CHAINS; ++i) {
        CallerPlan plan =
            m_trial->plan({ "chain", "GET", chainPath(0) }, "chain-" + std::to_string(i), i);
        plan.attempts = 20;
        m_trial->callers().send(plan);
    }
    CHECK(waitUntil([this] { return startCountAt("chain-1") > 0; }));
    m_trial->host(0).process.signal(SIGTERM);
    CHECK_EQUAL(0, m_trial->host(0).process.wait(seconds(30)));
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    STRCMP_EQUAL("", reasonsOf(history, Told::Unknown).c_str());
    CHECK_EQUAL(CHAINS, countServed(history));
}
