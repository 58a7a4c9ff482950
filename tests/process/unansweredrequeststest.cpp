#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "platform/standins/clientrequest.h"
#include "platform/standins/soakdeployment.h"
#include "state/idvalue.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t MACHINES = 3;
/// Of them, the one whose server runs the requests.
constexpr std::size_t SERVER_MACHINE = 2;
constexpr std::size_t REQUESTS = 6;
constexpr Duration PATIENCE = seconds(15);

std::string formatRequest(std::uint64_t number)
{
    return format({ "GET", SOAK_HOST, "/view/1", toHex(number), seconds(12), {} });
}

} // namespace

/// Real daemons of the users' platform, with requests that their servers do not answer.
TEST_GROUP(UnansweredRequests)
{
    RequestLedger m_ledger;
    std::string m_folder;
    std::unique_ptr<SoakDeployment> m_deployment;
    std::vector<std::unique_ptr<BlockingConnection>> m_connections;

    void setup() override
    {
        char folder[] = "/tmp/ivyspar-unanswered-XXXXXX";
        m_folder = mkdtemp(folder);
        SoakDeploymentOptions options;
        options.binary = IVYSPAR_PLATFORM_BINARY;
        options.folder = m_folder;
        options.machines = MACHINES;
        options.viewTimeout = "12000ms";
        m_deployment = std::make_unique<SoakDeployment>(options, m_ledger);
        std::string error;
        CHECK_TEXT(m_deployment->start(error), error.c_str());
    }

    void teardown() override
    {
        m_connections.clear();
        m_deployment.reset();
        std::filesystem::remove_all(m_folder);
    }

    SoakMachine &machine(std::size_t number)
    {
        return m_deployment->machines().at(number);
    }

    /// Opens connections, and has one request answered on each.
    void keepConnections(const SoakMachine &entry)
    {
        const auto endpoint = Endpoint::parse(entry.entry);
        for (std::size_t i = 0; i < REQUESTS; ++i) {
            m_connections.push_back(
                std::make_unique<BlockingConnection>(connectTo(*endpoint, PATIENCE)));
            TextMessage answer;
            do {
                CHECK(m_connections.back()->write(formatRequest(++m_number)));
                CHECK(m_connections.back()->read(answer, PATIENCE));
            } while (answer.status() != 200);
        }
    }

    void sendAll()
    {
        for (const auto &connection : m_connections) {
            CHECK(connection->write(formatRequest(++m_number)));
        }
    }

    /// Sends a request on each connection, and waits until all run.
    void sendSilent()
    {
        ServerFaults silent;
        silent.silent = 1;
        machine(SERVER_MACHINE).server->setFaults(silent);
        const std::size_t before = m_ledger.counts().runs;
        sendAll();
        for (int i = 0; i < 500 && m_ledger.counts().runs < before + REQUESTS; ++i) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        CHECK(m_ledger.counts().runs >= before + REQUESTS);
    }

    /// A stop that takes all its time exits with 1.
    void checkExit(SoakMachine & stopped)
    {
        const int code = stopped.daemon.wait(PATIENCE);
        CHECK_TEXT(code == 0 || code == 1, std::to_string(code).c_str());
    }

    void checkAllAnswered()
    {
        for (const auto &connection : m_connections) {
            TextMessage answer;
            CHECK(connection->read(answer, PATIENCE));
            CHECK(answer.status() > 0);
        }
    }

    std::uint64_t m_number = 0x1000;
};

// Guards against a planned stop that closes the connections of requests whose server, beside the
// daemon, does not answer in time.
TEST(UnansweredRequests, AreAnsweredWhenTheDaemonBesideTheServerStops)
{
    keepConnections(machine(SERVER_MACHINE));
    sendSilent();
    machine(SERVER_MACHINE).daemon.signal(SIGTERM);
    checkAllAnswered();
    checkExit(machine(SERVER_MACHINE));
}

// The same with a server beside another daemon.
TEST(UnansweredRequests, AreAnsweredWhenTheirEntryStops)
{
    keepConnections(machine(0));
    sendSilent();
    machine(0).daemon.signal(SIGTERM);
    checkAllAnswered();
    checkExit(machine(0));
}

// The same when both daemons stop.
TEST(UnansweredRequests, AreAnsweredWhenAllDaemonsStop)
{
    keepConnections(machine(0));
    sendSilent();
    for (SoakMachine &each : m_deployment->machines()) {
        each.daemon.signal(SIGTERM);
    }
    checkAllAnswered();
    for (SoakMachine &each : m_deployment->machines()) {
        checkExit(each);
    }
}

// Guards against a fault at the end of a stop, when servers have not answered calls and health
// checks.
TEST(UnansweredRequests, StopEndsInOrderWhileServersHang)
{
    keepConnections(machine(0));
    keepConnections(machine(SERVER_MACHINE));
    for (SoakMachine &each : m_deployment->machines()) {
        each.server->setHanging(true);
    }
    sendAll();
    for (SoakMachine &each : m_deployment->machines()) {
        each.daemon.signal(SIGTERM);
    }
    checkAllAnswered();
    for (SoakMachine &each : m_deployment->machines()) {
        checkExit(each);
    }
}

// Guards against a request that comes late in a planned stop on a connection that looks like one of
// the server beside the daemon: it was passed on, and cut off by the end of the stop.
TEST(UnansweredRequests, ARequestThatCannotEndBeforeTheStopIsNotStarted)
{
    constexpr int REQUESTS_TO_LOOK_LIKE_A_SERVER = 30;
    SoakMachine &stopped = machine(SERVER_MACHINE);
    const auto entry = Endpoint::parse(stopped.entry);
    keepConnections(stopped);
    sendSilent();
    BlockingConnection kept(connectTo(*entry, PATIENCE));
    TextMessage answer;
    for (int i = 0; i < REQUESTS_TO_LOOK_LIKE_A_SERVER; ++i) {
        CHECK(kept.write(
            format({ "POST", SOAK_HOST, "/order/1", toHex(++m_number), milliseconds(1500), {} })));
        CHECK(kept.read(answer, PATIENCE));
    }
    stopped.daemon.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(4500));
    for (SoakMachine &other : m_deployment->machines()) {
        other.server->setSilent(true);
    }
    const std::size_t runsBefore = m_ledger.counts().runs;
    CHECK(kept.write(
        format({ "POST", SOAK_HOST, "/order/1", toHex(++m_number), milliseconds(3000), {} })));
    (void)kept.read(answer, PATIENCE);
    LONGS_EQUAL(runsBefore, m_ledger.counts().runs);
    checkExit(stopped);
}
