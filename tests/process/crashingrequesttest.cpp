#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"

#include "tests/process/failuretest.h"

using namespace ivyspar::lab;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint32_t SERVER_COUNT = 6;
/// Number of servers that a request may crash before it is quarantined.
constexpr std::uint32_t CRASH_LIMIT = 3;
/// Time within which information about a crash reaches all daemons.
constexpr seconds PROPAGATION_TIME{ 3 };
/// Number of times that the request may still reach a server after that.
constexpr std::uint32_t MAX_LATE_SENDS = 3;
constexpr milliseconds CRASHER_INTERVAL{ 150 };
constexpr milliseconds OTHERS_INTERVAL{ 25 };
/// Minimum share of the other requests that are served.
constexpr double MIN_SERVED_SHARE = 0.95;
const std::string CRASHER = "crasher";
const std::string IN_DEMAND = "in-demand";

} // namespace

/// One request crashes every server that starts it, and is sent repeatedly through all daemons. It
/// is mixed with harmless requests: some are sent once, and one is sent by many callers.
struct CrashingRequestFixture : FailureTest
{
    double m_inDemandCallers = 0;

    struct TrafficResult
    {
        std::uint32_t sends = 0;
        std::uint32_t lateSends = 0;
    };

    void startServers(const std::string &crasher)
    {
        startTrial(makeTrialGraph(SERVER_COUNT), {}, false);
        CHECK(m_trial->setBehaviour("", "{\"crashToken\":\"" + crasher + "\"}"));
    }

    void sendOther(const GraphCall &call, const std::string &token, std::uint32_t number)
    {
        m_inDemandCallers += token == IN_DEMAND ? 1 : 0;
        CallerPlan plan = m_trial->plan(call, token, number);
        plan.attempts = 4;
        plan.isRepeatingUnknown = true;
        plan.pause = milliseconds(250);
        m_trial->callers().send(plan);
    }

    /// Sends requests for `length` and counts how often the crashing one reaches a server.
    TrafficResult runTraffic(const GraphCall &call, seconds length)
    {
        TrafficResult result;
        const auto startedAt = steady_clock::now();
        auto limitReachedAt = steady_clock::time_point::max();
        auto nextCrasher = startedAt;
        auto nextOther = startedAt;
        std::uint32_t sent = 0;
        std::uint32_t earlySends = 0;
        while (steady_clock::now() < startedAt + length) {
            const auto now = steady_clock::now();
            if (now >= nextCrasher) {
                m_trial->callers().send(m_trial->plan(call, CRASHER, ++sent));
                nextCrasher += CRASHER_INTERVAL;
                result.sends = m_trial->startCount(CRASHER);
                const bool isLimitReached =
                    result.sends >= CRASH_LIMIT && m_trial->crashCount() >= CRASH_LIMIT;
                limitReachedAt = isLimitReached ? std::min(limitReachedAt, now) : limitReachedAt;
                earlySends = now < limitReachedAt + PROPAGATION_TIME || !isLimitReached
                    ? result.sends
                    : earlySends;
            }
            if (now >= nextOther) {
                const std::string number = std::to_string(++sent);
                sendOther({ "desk", "GET", "/wait/3" }, "once-" + number, sent);
                sendOther(m_page, IN_DEMAND, sent);
                nextOther += OTHERS_INTERVAL;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        m_trial->callers().waitForAll();
        result.sends = m_trial->startCount(CRASHER);
        result.lateSends = result.sends - earlySends;
        return result;
    }

    /// Share of the requests sent once whose last attempt was answered with status 200.
    static double shareServed(const History &history)
    {
        double served = 0;
        double all = 0;
        for (const CallerAction &action : history.actions) {
            const bool isOnce = action.token.rfind("once-", 0) == 0;
            all += isOnce ? 1 : 0;
            served += isOnce && action.attempts.back().status == 200 ? 1 : 0;
        }
        return all > 0 ? served / all : 0;
    }

    /// Share of the callers of the in-demand request that were answered with status 200. A caller
    /// stops at its first such answer.
    double shareServedInDemand(const History &history) const
    {
        double served = 0;
        for (const CallerAction &action : history.actions) {
            for (const CallerAttempt &attempt : action.attempts) {
                served += action.token == IN_DEMAND && attempt.status == 200 ? 1 : 0;
            }
        }
        return m_inDemandCallers > 0 ? served / m_inDemandCallers : 0;
    }

    /// The first fingerprint that the daemon lists as quarantined; empty if there is none.
    static std::string quarantinedFingerprintAt(const ivyspar::Endpoint &operators)
    {
        const auto answer = exchangeBlocking(operators, { "GET", "/status", {}, {} }, seconds(5));
        const auto status =
            answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
        for (const auto &suspect : status.value("suspects", nlohmann::json::array())) {
            if (suspect.value("standing", "") == "quarantined") {
                return suspect.value("fingerprint", "");
            }
        }
        return "";
    }

    std::uint32_t quarantiningDaemonCount()
    {
        std::uint32_t count = 0;
        for (std::uint32_t host = 0; host < SERVER_COUNT; ++host) {
            count += quarantinedFingerprintAt(m_trial->host(host).operators).empty() ? 0 : 1;
        }
        return count;
    }

    void checkContained(const TrafficResult &result)
    {
        CHECK_COMPARE(result.sends, >=, CRASH_LIMIT);
        CHECK_COMPARE(result.lateSends, <=, MAX_LATE_SENDS);
        const History history = m_trial->history();
        checkNoViolations(checkNotRun(history));
        checkNoViolations(checkAccused(history, CRASHER));
        CHECK_COMPARE(shareServed(history), >=, MIN_SERVED_SHARE);
        CHECK_COMPARE(shareServedInDemand(history), >=, MIN_SERVED_SHARE);
    }
};

TEST_GROUP_BASE(CrashingRequest, CrashingRequestFixture){};

// Guards against a crashing request that reaches server after server because each repetition is
// treated as a new request.
TEST(CrashingRequest, IsQuarantinedAfterThreeCrashes)
{
    startServers(CRASHER);
    checkContained(runTraffic({ "desk", "GET", "/wait/4" }, seconds(9)));
}

TEST(CrashingRequest, IsQuarantinedAlthoughNotRepeatable)
{
    startServers(CRASHER);
    checkContained(runTraffic(m_record, seconds(9)));
}

// Guards against a quarantine that operators cannot see, or cannot lift once its cause is fixed.
TEST(CrashingRequest, IsListedAndLiftedByTheOperator)
{
    startServers(CRASHER);
    checkContained(runTraffic({ "desk", "GET", "/wait/4" }, seconds(9)));
    const ivyspar::Endpoint &operators = m_trial->host(2).operators;
    const std::string fingerprint = quarantinedFingerprintAt(operators);
    LONGS_EQUAL(32, fingerprint.size());
    CHECK(m_trial->setBehaviour("", R"({"crashToken":""})"));
    const auto lifted = exchangeBlocking(
        operators, { "POST", "/quarantine/lift/" + fingerprint, {}, {} }, seconds(5));
    CHECK(lifted && lifted->status == 200);
    CHECK(waitUntil([this] { return quarantiningDaemonCount() == 0; }));
    for (std::uint32_t entry = 0; entry < SERVER_COUNT; ++entry) {
        sendOther({ "desk", "GET", "/wait/4" }, CRASHER, entry);
    }
    const History history = m_trial->history();
    std::uint32_t served = 0;
    for (const CallerAction &action : history.actions) {
        for (const CallerAttempt &attempt : action.attempts) {
            served += action.token == CRASHER && attempt.status == 200 ? 1 : 0;
        }
    }
    LONGS_EQUAL(SERVER_COUNT, served);
}

// Guards against quarantining requests for crashes that no request caused.
TEST(CrashingRequest, CrashesWithoutACauseImplicateNoRequest)
{
    startServers("");
    const auto startedAt = steady_clock::now();
    std::uint32_t sent = 0;
    for (std::uint32_t crash = 0; crash < 10; ++crash) {
        CHECK(m_trial->crash(m_trial->host(crash % SERVER_COUNT).name));
        while (steady_clock::now() < startedAt + (crash + 1) * milliseconds(700)) {
            sendOther(m_page, IN_DEMAND, ++sent);
            sendOther({ "desk", "GET", "/wait/3" }, "once-" + std::to_string(sent), sent);
            std::this_thread::sleep_for(OTHERS_INTERVAL);
        }
    }
    const History history = m_trial->history();
    checkNoViolations(checkNotRun(history));
    CHECK_COMPARE(shareServed(history), >=, MIN_SERVED_SHARE);
    CHECK_COMPARE(shareServedInDemand(history), >=, MIN_SERVED_SHARE);
    checkNoViolations(checkAccused(history, ""));
}
