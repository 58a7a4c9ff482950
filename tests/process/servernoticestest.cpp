#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t HOSTS = 6;

} // namespace

struct ServerNoticesFixture : FailureTest
{
    /// Sends that many requests a second through all daemons in turn.
    void sendFor(std::chrono::seconds length, std::uint32_t perSecond)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto gap = std::chrono::microseconds(1000000 / perSecond);
        const auto count = static_cast<std::uint32_t>(length.count()) * perSecond;
        for (std::uint32_t i = 0; i < count; ++i) {
            const std::string token = 'n' + std::to_string(m_sent++);
            m_trial->callers().send(m_trial->plan({ "desk", "GET", "/wait/2" }, token, i));
            std::this_thread::sleep_until(start + gap * (i + 1));
        }
    }
    /// Makes the server state something and waits until its daemon has learned it from a response.
    void makeState(std::size_t host, const char *behaviour)
    {
        CHECK(m_trial->setBehaviour(m_trial->host(host).name, behaviour));
        CHECK(waitUntil([this, host] {
            m_trial->callers().send(
                m_trial->plan({ "desk", "GET", "/wait/2" }, 'n' + std::to_string(m_sent++), host));
            m_trial->callers().waitForAll();
            return hasNotice(host);
        }));
    }
    bool hasNotice(std::size_t host)
    {
        const auto answer = exchangeBlocking(m_trial->host(host).operators,
                                             { "GET", "/status", {}, {} }, std::chrono::seconds(5));
        const auto status = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
        if (!status.is_object() || status["gates"].empty()) {
            return false;
        }
        const auto &gate = status["gates"][0];
        return gate["rate_limit_per_s"].is_number() || gate["leaving"] == true;
    }
    void checkNotices() { checkNoViolations(m_trial->noticeViolations()); }

    std::uint32_t m_sent = 0;
};

TEST_GROUP_BASE(ServerNotices, ServerNoticesFixture){};

// Guards against servers that get more requests than the rate that they state in their responses.
TEST(ServerNotices, LimitedServersGetNoMoreThanTheyState)
{
    startTrial(makeTrialGraph(HOSTS), {}, false);
    makeState(0, R"({"rateLimits":["20"]})");
    makeState(1, R"({"rateLimits":["0"]})");
    sendFor(std::chrono::seconds(7), 200);
    checkNotices();
    CHECK(countServed(m_trial->history()) > 0);
    CHECK(m_trial->arrivalCount(m_trial->host(0).name) > 0);
}

// Guards against a daemon that is killed and returns without knowing the limit of its server, which
// all other daemons have passed on.
TEST(ServerNotices, LimitHoldsWhileTheServersDaemonIsKilledAgainAndAgain)
{
    startTrial(makeTrialGraph(HOSTS), {}, false);
    for (std::size_t host = 0; host < HOSTS; ++host) {
        makeState(host, R"({"rateLimits":["5"]})");
    }
    sendFor(std::chrono::seconds(2), 200);
    for (int i = 0; i < 3; ++i) {
        DeployedHost &host = m_trial->host(2);
        host.process.signal(SIGKILL);
        host.process.wait(std::chrono::seconds(10));
        std::string error;
        CHECK_TRUE_TEXT(m_trial->deployment().restartHost(host, error), error.c_str());
        sendFor(std::chrono::seconds(2), 200);
    }
    checkNotices();
}

// Guards against requests that are sent to a server after it said in a response that it leaves,
// while its announcements do not say so.
TEST(ServerNotices, LeavingServerGetsNothingMore)
{
    startTrial(makeTrialGraph(HOSTS), {}, false);
    const std::string &name = m_trial->host(3).name;
    makeState(3, R"({"statesLeaving":true})");
    const std::uint64_t before = m_trial->arrivalCount(name);
    CHECK(before > 0);
    sendFor(std::chrono::seconds(2), 200);
    CHECK_EQUAL(before, m_trial->arrivalCount(name));
    checkNotices();
    checkNoViolations(checkAll(m_trial->history(), m_trial->graph()));
}
