#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <sys/wait.h>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "standins/deployment/childprocess.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::seconds;

namespace {

constexpr Duration TIMEOUT = seconds(30);
constexpr Duration POLL_INTERVAL = std::chrono::milliseconds(20);

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::string outputOf(const std::string &command, int &exitCode)
{
    std::FILE *pipe = popen(command.c_str(), "r");
    std::string output;
    std::array<char, 4096> buffer{};
    std::size_t size = 0;
    while ((size = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
        output.append(buffer.data(), size);
    }
    exitCode = WEXITSTATUS(pclose(pipe));
    return output;
}

std::string bodyOf(const Endpoint &endpoint, const std::string &target, std::uint16_t status)
{
    const auto answer = exchangeBlocking(endpoint, { "GET", target, {}, {} }, TIMEOUT);
    CHECK_TRUE_TEXT(answer.has_value(), target.c_str());
    CHECK_EQUAL_TEXT(status, answer->status, target.c_str());
    return answer->body;
}

} // namespace

/// Runs a single daemon that is configured from files and has no upstream.
TEST_GROUP(OperatorProcess)
{
    std::string m_folder;
    ChildProcess m_daemon;
    Endpoint m_operators;
    Endpoint m_callers;

    void setup() override
    {
        char folder[] = "/tmp/ivyspar-operator-XXXXXX";
        m_folder = mkdtemp(folder);
        const std::string ready = m_folder + "/ready.json";
        const std::string examples = IVYSPAR_SOURCE_DIR "/examples/bottega/";
        m_daemon = ChildProcess(IVYSPAR_BINARY,
                                { "daemon", "--daemon_id=cassa-1", "--domain=sala-a",
                                  "--caller_listen=127.0.0.1:0", "--operator_listen=127.0.0.1:0",
                                  "--upstream_listen=127.0.0.1:0", "--peer_listen=127.0.0.1:0",
                                  "--inventory=" + examples + "inventory.toml",
                                  "--rules=" + examples + "rules.toml", "--ready_file=" + ready,
                                  "--decision_log=" + m_folder + "/decisions.log" },
                                m_folder + "/daemon.out");
        const auto document = nlohmann::json::parse(waitForFile(ready, TIMEOUT), nullptr, false);
        CHECK_TRUE_TEXT(document.is_object(), readFile(m_folder + "/daemon.out").c_str());
        m_operators = Endpoint::parse(document["operator"].get<std::string>()).value();
        m_callers = Endpoint::parse(document["caller"].get<std::string>()).value();
    }

    void teardown() override
    {
        m_daemon.stop(TIMEOUT);
        std::filesystem::remove_all(m_folder);
    }
};

TEST(OperatorProcess, StatusIsPrintedAsText)
{
    int exitCode = -1;
    const std::string output =
        outputOf(IVYSPAR_BINARY " status --operator=" + m_operators.text() + " 2>&1", exitCode);
    CHECK_EQUAL_TEXT(0, exitCode, output.c_str());
    STRCMP_CONTAINS("id: cassa-1\n", output.c_str());
    STRCMP_CONTAINS("domain: sala-a\n", output.c_str());
}

TEST(OperatorProcess, AnswersHealthAndMetrics)
{
    STRCMP_EQUAL("ok\n", bodyOf(m_operators, "/healthz", 200).c_str());
    STRCMP_CONTAINS("\nivyspar_members 1\n", bodyOf(m_operators, "/metrics", 200).c_str());
    bodyOf(m_operators, "/other", 404);
}

// The age shows an operator that a change did not arrive, so it must increase without any event.
TEST(OperatorProcess, ConfigurationAgeIncreases)
{
    const std::string zeroAge = "\nivyspar_configuration_age_seconds 0\n";
    const auto deadline = std::chrono::steady_clock::now() + TIMEOUT;
    bool isOlder = false;
    while (!isOlder && std::chrono::steady_clock::now() < deadline) {
        isOlder = bodyOf(m_operators, "/metrics", 200).find(zeroAge) == std::string::npos;
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
    CHECK_TRUE(isOlder);
}

// The service has no server. The caller is told immediately that its request was not run, and the
// operator finds the refusal in the metrics and, by request id, in the decision log.
TEST(OperatorProcess, RefusalIsCountedAndLogged)
{
    const auto answer = exchangeBlocking(
        m_callers, { "GET", "/cassa/prices", { { "Ivyspar-Request-Id", "00000000000000ab" } }, {} },
        TIMEOUT);
    CHECK_EQUAL(503, answer->status);
    STRCMP_EQUAL("not-run", findHeader(answer->headers, "Ivyspar-Outcome")->c_str());
    STRCMP_EQUAL("no-server", findHeader(answer->headers, "Ivyspar-Reason")->c_str());
    STRCMP_CONTAINS("ivyspar_request_reasons_total{outcome=\"not-run\",reason=\"no-server\"} 1",
                    bodyOf(m_operators, "/metrics", 200).c_str());
    CHECK_EQUAL(0, m_daemon.stop(TIMEOUT));
    const std::string decisions = readFile(m_folder + "/decisions.log");
    STRCMP_CONTAINS("\"request\":\"00000000000000ab\"", decisions.c_str());
    STRCMP_CONTAINS("\"reason\":\"no-server\"", decisions.c_str());
}
