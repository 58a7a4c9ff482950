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

constexpr std::uint32_t SERVERS = 6;
/// Servers that a request may crash before it is kept from all others.
constexpr std::uint32_t CRASHES = 3;
/// What is known of a crash by then has reached all daemons.
constexpr seconds CONTACT{ 3 };
/// Sends to servers that are still allowed after that.
constexpr std::uint32_t LATE_SENDS = 3;
constexpr milliseconds CRASHER_INTERVAL{ 150 };
constexpr milliseconds OTHERS_INTERVAL{ 25 };
/// Of the other requests.
constexpr double SERVED_SHARE = 0.95;
const std::string CRASHER = "crasher";
const std::string IN_DEMAND = "in-demand";

} // namespace

/// One request that crashes each server which begins to run it comes again and again, at any
/// daemon, among others that come once and one that is in demand.
struct CrashingRequestFixture : FailureTest
{
    double m_inDemandCallers = 0;

    struct Course
    {
        std::uint32_t sends = 0;
        std::uint32_t lateSends = 0;
    };

    void startServers(const std::string &crasher)
    {
        startTrial(makeTrialGraph(SERVERS), {}, false);
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

    /// Sends for `length`, and counts what reaches servers.
    Course play(const GraphCall &call, seconds length)
    {
        Course course;
        const auto startedAt = steady_clock::now();
        auto crashedAt = steady_clock::time_point::max();
        auto nextCrasher = startedAt;
        auto nextOther = startedAt;
        std::uint32_t sent = 0;
        std::uint32_t before = 0;
        while (steady_clock::now() < startedAt + length) {
            const auto now = steady_clock::now();
            if (now >= nextCrasher) {
                m_trial->callers().send(m_trial->plan(call, CRASHER, ++sent));
                nextCrasher += CRASHER_INTERVAL;
                course.sends = m_trial->startCount(CRASHER);
                const bool isThird = course.sends >= CRASHES && m_trial->crashCount() >= CRASHES;
                crashedAt = isThird ? std::min(crashedAt, now) : crashedAt;
                before = now < crashedAt + CONTACT || !isThird ? course.sends : before;
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
        course.sends = m_trial->startCount(CRASHER);
        course.lateSends = course.sends - before;
        return course;
    }

    /// The share of the others that ended with a whole answer.
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

    /// Each of its callers stops at the first whole answer.
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

    /// The fingerprint that the daemon lists as quarantined; empty if there is none.
    static std::string quarantinedAt(const ivyspar::Endpoint &operators)
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

    std::uint32_t countQuarantining()
    {
        std::uint32_t count = 0;
        for (std::uint32_t host = 0; host < SERVERS; ++host) {
            count += quarantinedAt(m_trial->host(host).operators).empty() ? 0 : 1;
        }
        return count;
    }

    void checkContained(const Course &course)
    {
        CHECK_COMPARE(course.sends, >=, CRASHES);
        CHECK_COMPARE(course.lateSends, <=, LATE_SENDS);
        const History history = m_trial->history();
        checkClean(checkNotRun(history));
        checkClean(checkAccused(history, CRASHER));
        CHECK_COMPARE(shareServed(history), >=, SERVED_SHARE);
        CHECK_COMPARE(shareServedInDemand(history), >=, SERVED_SHARE);
    }
};

TEST_GROUP_BASE(CrashingRequest, CrashingRequestFixture){};

// Guards against a request that is sent to server after server because each repetition is new.
TEST(CrashingRequest, IsQuarantinedAfterThreeCrashes)
{
    startServers(CRASHER);
    checkContained(play({ "desk", "GET", "/wait/4" }, seconds(9)));
}

TEST(CrashingRequest, IsQuarantinedAlthoughNotRepeatable)
{
    startServers(CRASHER);
    checkContained(play(m_record, seconds(9)));
}

// Guards against a quarantine that nobody can see, or lift when its cause is mended.
TEST(CrashingRequest, IsListedAndReleasedByTheOperator)
{
    startServers(CRASHER);
    checkContained(play({ "desk", "GET", "/wait/4" }, seconds(9)));
    const ivyspar::Endpoint &operators = m_trial->host(2).operators;
    const std::string fingerprint = quarantinedAt(operators);
    LONGS_EQUAL(32, fingerprint.size());
    CHECK(m_trial->setBehaviour("", R"({"crashToken":""})"));
    const auto lifted = exchangeBlocking(
        operators, { "POST", "/quarantine/lift/" + fingerprint, {}, {} }, seconds(5));
    CHECK(lifted && lifted->status == 200);
    CHECK(waitUntil([this] { return countQuarantining() == 0; }));
    for (std::uint32_t entry = 0; entry < SERVERS; ++entry) {
        sendOther({ "desk", "GET", "/wait/4" }, CRASHER, entry);
    }
    const History history = m_trial->history();
    std::uint32_t served = 0;
    for (const CallerAction &action : history.actions) {
        for (const CallerAttempt &attempt : action.attempts) {
            served += action.token == CRASHER && attempt.status == 200 ? 1 : 0;
        }
    }
    LONGS_EQUAL(SERVERS, served);
}

// Guards against requests that are held responsible for crashes which no request caused.
TEST(CrashingRequest, CrashesWithoutACauseImplicateNoRequest)
{
    startServers("");
    const auto startedAt = steady_clock::now();
    std::uint32_t sent = 0;
    for (std::uint32_t crash = 0; crash < 10; ++crash) {
        CHECK(m_trial->crash(m_trial->host(crash % SERVERS).name));
        while (steady_clock::now() < startedAt + (crash + 1) * milliseconds(700)) {
            sendOther(m_page, IN_DEMAND, ++sent);
            sendOther({ "desk", "GET", "/wait/3" }, "once-" + std::to_string(sent), sent);
            std::this_thread::sleep_for(OTHERS_INTERVAL);
        }
    }
    const History history = m_trial->history();
    checkClean(checkNotRun(history));
    CHECK_COMPARE(shareServed(history), >=, SERVED_SHARE);
    CHECK_COMPARE(shareServedInDemand(history), >=, SERVED_SHARE);
    checkClean(checkAccused(history, ""));
}
