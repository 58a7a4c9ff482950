#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "standins/deployment/childprocess.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr char INVENTORY[] = IVYSPAR_SOURCE_DIR "/examples/tallowood/inventory.toml";
constexpr char RULES[] = IVYSPAR_SOURCE_DIR "/examples/tallowood/rules.toml";
const char *const DOMAINS[] = { "fortitude-hall", "southbank-hall", "coorparoo-dc", "eagle-farm" };
constexpr Duration TIMEOUT = seconds(30);

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + TIMEOUT;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

struct RunningDaemon
{
    std::string name;
    ChildProcess process;
    Endpoint peer;
    Endpoint operators;

    json configuration() const
    {
        const auto answer = exchangeBlocking(operators, { "GET", "/status", {}, {} }, seconds(5));
        const json status =
            answer ? json::parse(answer->body, nullptr, false) : json(json::value_t::discarded);
        return status.is_object() ? status.value("configuration", json::object()) : json::object();
    }
    std::uint64_t version() const { return configuration().value("in_force", std::uint64_t(0)); }
};

} // namespace

/// Runs daemons, the log stand-in and `ivyspar publish` as processes.
TEST_GROUP(ConfigurationProcess)
{
    std::string m_folder;
    ChildProcess m_log;
    Endpoint m_logEndpoint;
    std::vector<std::unique_ptr<RunningDaemon>> m_daemons;

    void setup() override
    {
        char folder[] = "/tmp/ivyspar-configuration-XXXXXX";
        m_folder = mkdtemp(folder);
        const std::string ready = m_folder + "/log.ready";
        m_log = ChildProcess(IVYSPAR_LAB_BINARY, { "log", "--ready_file", ready },
                             m_folder + "/log.out");
        const json document = json::parse(waitForFile(ready, TIMEOUT), nullptr, false);
        CHECK(document.is_object());
        m_logEndpoint = Endpoint::parse(document["endpoint"].get<std::string>()).value();
    }
    void teardown() override
    {
        for (const auto &daemon : m_daemons) {
            daemon->process.signal(SIGTERM);
        }
        for (const auto &daemon : m_daemons) {
            daemon->process.stop(seconds(10));
        }
        m_daemons.clear();
        m_log.stop(seconds(10));
        std::filesystem::remove_all(m_folder);
    }
    RunningDaemon &startDaemon(const std::string &name, const std::string &domain)
    {
        auto daemon = std::make_unique<RunningDaemon>();
        daemon->name = name;
        const std::string ready = m_folder + "/" + name + ".ready";
        std::vector<std::string> flags{ "daemon",
                                        "--daemon_id=" + name,
                                        "--domain=" + domain,
                                        "--caller_listen=127.0.0.1:0",
                                        "--operator_listen=127.0.0.1:0",
                                        "--upstream_listen=127.0.0.1:0",
                                        "--peer_listen=127.0.0.1:0",
                                        "--log_endpoints=" + m_logEndpoint.text(),
                                        "--ready_file=" + ready };
        if (!m_daemons.empty()) {
            flags.push_back("--seeds=" + m_daemons.front()->peer.text());
        }
        daemon->process = ChildProcess(IVYSPAR_BINARY, flags, m_folder + "/" + name + ".out");
        const json document = json::parse(waitForFile(ready, TIMEOUT), nullptr, false);
        CHECK(document.is_object());
        daemon->peer = Endpoint::parse(document["peer"].get<std::string>()).value();
        daemon->operators = Endpoint::parse(document["operator"].get<std::string>()).value();
        m_daemons.push_back(std::move(daemon));
        return *m_daemons.back();
    }
    void startDaemons()
    {
        for (const char *domain : DOMAINS) {
            startDaemon(std::string(domain) + "-1", domain);
        }
    }
    void setFaults(const std::string &faults)
    {
        const auto answer =
            exchangeBlocking(m_logEndpoint, { "POST", "/faults", {}, faults }, seconds(5));
        CHECK(answer && answer->status == 200);
    }
    /// Runs `ivyspar publish` and returns its exit code.
    int publish(const std::vector<std::string> &flags)
    {
        std::vector<std::string> arguments{ "publish", "--log_endpoints=" + m_logEndpoint.text() };
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        arguments.insert(arguments.end(), { INVENTORY, RULES });
        ChildProcess process(IVYSPAR_BINARY, arguments, m_folder + "/publish.out");
        return process.wait(TIMEOUT);
    }
    std::string publishOutput() const
    {
        std::ifstream file(m_folder + "/publish.out");
        return std::string(std::istreambuf_iterator<char>(file), {});
    }
    bool waitForVersion(std::uint64_t version)
    {
        return waitUntil([this, version] {
            for (const auto &daemon : m_daemons) {
                if (daemon->version() != version) {
                    return false;
                }
            }
            return true;
        });
    }
};

TEST(ConfigurationProcess, APublishedChangeIsInForceInEveryDomain)
{
    startDaemons();
    CHECK_EQUAL(0, publish({}));
    CHECK(waitForVersion(1));
    CHECK_EQUAL(3, publish({ "--base=0" }));
    CHECK(publishOutput().find("version 1") != std::string::npos);
    CHECK_EQUAL(0, publish({ "--base=1" }));
    CHECK(waitForVersion(2));
}

// The answer to the append is lost after the append took effect. The operator must be told
// "accepted", and the change must not be applied twice.
TEST(ConfigurationProcess, ALostAnswerCausesNoDuplicateChange)
{
    startDaemon("a", DOMAINS[0]);
    setFaults(R"({"lost_after":1})");
    CHECK_EQUAL(0, publish({ "--change_id=once" }));
    CHECK_EQUAL(0, publish({ "--change_id=once" }));
    CHECK(waitForVersion(1));
}

// 1. The log becomes unavailable. A newly started daemon must get its configuration from its peers.
// 2. During the outage a change cannot be published, and the operator is told so.
TEST(ConfigurationProcess, ALogOutageBlocksOnlyChanges)
{
    startDaemons();
    CHECK_EQUAL(0, publish({}));
    CHECK(waitForVersion(1));
    setFaults(R"({"down":true})");
    startDaemon("fresh", DOMAINS[2]);
    CHECK(waitForVersion(1));
    CHECK_EQUAL(4, publish({ "--timeout=500ms" }));
    CHECK(publishOutput().find("nothing was published") != std::string::npos);
    setFaults(R"({"down":false})");
    CHECK_EQUAL(0, publish({}));
    CHECK(waitForVersion(2));
}

// A failure domain that loses the platform, but not its peers, gets the configuration from them.
TEST(ConfigurationProcess, ADomainCutOffFromThePlatformFollowsItsPeers)
{
    startDaemons();
    setFaults(R"({"cut_clients":["eagle-farm-1"]})");
    CHECK_EQUAL(0, publish({}));
    CHECK(waitForVersion(1));
}
