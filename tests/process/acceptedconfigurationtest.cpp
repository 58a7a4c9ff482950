#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::seconds;

struct AcceptedConfigurationFixture : FailureTest
{

    History m_observed;

    ChildProcess publish(const std::string &name, const std::string &base)
    {
        const std::string folder = m_trial->folder() + '/';
        return ChildProcess(IVYSPAR_BINARY,
                            { "publish",
                              "--log_endpoints=" + m_trial->deployment().logEndpoint().text(),
                              "--base=" + base, folder + "inventory.toml", folder + "rules.toml" },
                            folder + name + ".out");
    }
    int publishAndWait(const std::string &base)
    {
        return publish("publish", base).wait(seconds(30));
    }
    /// Records the version in force at every daemon that answers. Returns whether all daemons
    /// answered and have this version in force.
    bool recordVersions(std::uint64_t version)
    {
        bool isInForceEverywhere = true;
        for (const DeployedHost &host : m_trial->deployment().hosts()) {
            const auto answer =
                exchangeBlocking(host.operators, { "GET", "/status", {}, {} }, seconds(5));
            const auto status = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
            if (!status.is_object()) {
                isInForceEverywhere = false;
                continue;
            }
            const std::uint64_t observed = status.value("configuration_version", std::uint64_t(0));
            m_observed.versions[host.name].push_back(observed);
            isInForceEverywhere = isInForceEverywhere && observed == version;
        }
        return isInForceEverywhere;
    }
    void checkInForce(std::uint64_t version)
    {
        CHECK(waitUntil([this, version] { return recordVersions(version); }));
    }
    void restart(DeployedHost &host)
    {
        std::string error;
        CHECK_TRUE_TEXT(m_trial->deployment().restartHost(host, error), error.c_str());
    }
};

TEST_GROUP_BASE(AcceptedConfiguration, AcceptedConfigurationFixture){};

// Two operators publish concurrently on the same base version, five times. Each time exactly one
// succeeds and the other is told that it failed. Every daemon of every failure domain applies the
// accepted version, and none reverts to an older one.
TEST(AcceptedConfiguration, OneOfTwoConcurrentPublishersWins)
{
    startTrial(makeTrialGraph());
    for (std::uint64_t version = 1; version <= 5; ++version) {
        const std::string base = std::to_string(version - 1);
        ChildProcess first = publish("first", base);
        ChildProcess second = publish("second", base);
        const int firstCode = first.wait(seconds(30));
        const int secondCode = second.wait(seconds(30));
        CHECK_EQUAL(3, firstCode + secondCode);
        CHECK(firstCode == 0 || secondCode == 0);
        checkInForce(version);
    }
    checkNoViolations(checkVersions(m_observed));
}

// All daemons are killed, first one after another and then all at once. Hosts store no state, so
// the accepted configuration is recovered from the platform's log.
TEST(AcceptedConfiguration, SurvivesKillingEveryDaemon)
{
    startTrial(makeTrialGraph());
    CHECK_EQUAL(0, publishAndWait("0"));
    checkInForce(1);
    for (DeployedHost &host : m_trial->deployment().hosts()) {
        host.process.signal(SIGKILL);
        host.process.wait(seconds(10));
        restart(host);
    }
    CHECK_EQUAL(0, publishAndWait("1"));
    checkInForce(2);
    for (DeployedHost &host : m_trial->deployment().hosts()) {
        host.process.signal(SIGKILL);
    }
    for (DeployedHost &host : m_trial->deployment().hosts()) {
        host.process.wait(seconds(10));
        restart(host);
    }
    checkInForce(2);
    CHECK_EQUAL(3, publishAndWait("1"));
}

// Log reads are stale and log answers are lost while a daemon is killed and changes are accepted. A
// daemon that knows a version never treats an older one as current.
TEST(AcceptedConfiguration, NeverRevertsUnderStaleReads)
{
    startTrial(makeTrialGraph());
    CHECK_EQUAL(0, publishAndWait("0"));
    checkInForce(1);
    CHECK(m_trial->setLogFaults(R"({"stale_ms":1000,"lost_after":2})"));
    CHECK_EQUAL(0, publishAndWait("1"));
    checkInForce(2);
    DeployedHost &victim = m_trial->host(2);
    victim.process.signal(SIGKILL);
    victim.process.wait(seconds(10));
    CHECK_EQUAL(0, publishAndWait("2"));
    CHECK(m_trial->setLogFaults(R"({"stale_ms":0})"));
    restart(victim);
    checkInForce(3);
    m_observed.versions.erase(victim.name);
    checkNoViolations(checkVersions(m_observed));
}
