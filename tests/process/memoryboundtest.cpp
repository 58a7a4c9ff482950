#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "platform/standins/blockingconnection.h"
#include "platform/standins/clientrequest.h"
#include "platform/standins/soakdeployment.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace ivyspar::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// The limit in the settings of the deployment.
constexpr long MEMORY_KB = 260 * 1024;
constexpr int OK = 200;
constexpr double MIN_SERVED_SHARE = 0.95;

long peakMemoryKb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(name, 0) == 0) {
            return std::strtol(line.c_str() + name.size(), nullptr, 10);
        }
    }
    return 0;
}

std::string makeId(int client, int number)
{
    constexpr std::size_t DIGITS = 16;
    std::string id = std::to_string(1 + client) + "0000" + std::to_string(number);
    id.insert(0, DIGITS - id.size(), '0');
    return id;
}

} // namespace

/// Real daemons of the users' platform, whose memory is limited.
TEST_GROUP(MemoryBound)
{
    std::string m_folder;
    RequestLedger m_ledger;
    std::unique_ptr<SoakDeployment> m_deployment;
    std::vector<std::thread> m_clients;
    std::atomic<int> m_sent{ 0 };
    std::atomic<int> m_served{ 0 };

    void setup() override
    {
        char folder[] = "/tmp/ivyspar-memory-XXXXXX";
        m_folder = mkdtemp(folder);
        SoakDeploymentOptions options;
        options.binary = IVYSPAR_PLATFORM_BINARY;
        options.folder = m_folder;
        options.machines = 3;
        m_deployment = std::make_unique<SoakDeployment>(options, m_ledger);
        std::string error;
        const bool isStarted = m_deployment->start(error);
        CHECK_TRUE_TEXT(isStarted, error.c_str());
        std::this_thread::sleep_for(seconds(2));
    }

    void teardown() override
    {
        m_deployment.reset();
        std::filesystem::remove_all(m_folder);
    }

    SoakMachine &machineOf(const std::string &service)
    {
        for (SoakMachine &machine : m_deployment->machines()) {
            if (machine.service == service) {
                return machine;
            }
        }
        FAIL("no such service");
        return m_deployment->machines().front();
    }

    /// Sends the request again and again for `length`, one after the other. Counts what was served
    /// if `isCounted`.
    void addClient(const SoakMachine &machine, const ClientRequest &request, seconds length,
                   bool isCounted)
    {
        const int client = static_cast<int>(m_clients.size());
        const Endpoint entry = Endpoint::parse(machine.entry).value();
        m_clients.emplace_back([this, entry, request, length, isCounted, client] {
            const auto end = steady_clock::now() + length;
            for (int number = 0; steady_clock::now() < end; ++number) {
                ClientRequest next = request;
                next.id = makeId(client, number);
                const bool isServed = ask(entry, next) == OK;
                m_sent += isCounted ? 1 : 0;
                m_served += isCounted && isServed ? 1 : 0;
            }
        });
    }

    static int ask(const Endpoint &entry, const ClientRequest &request)
    {
        BlockingConnection connection(connectTo(entry, seconds(1)));
        TextMessage answer;
        const bool isAnswered = connection.write(format(request))
            && connection.read(answer, request.deadline + seconds(1));
        return isAnswered ? answer.status() : 0;
    }

    void waitForClients()
    {
        for (std::thread &client : m_clients) {
            client.join();
        }
        m_clients.clear();
    }

    void checkMemory()
    {
        for (const SoakMachine &machine : m_deployment->machines()) {
            CHECK_COMPARE(peakMemoryKb(machine.daemon.pid()), >, 0);
            CHECK_COMPARE(peakMemoryKb(machine.daemon.pid()), <=, MEMORY_KB);
        }
    }
};

// Guards against a daemon that keeps responses without end until its memory is used up, and takes
// the requests of other clients with it.
TEST(MemoryBound, ResponsesWithoutEndLeaveRoomForOthers)
{
    constexpr int ENDLESS_CLIENTS = 40;
    constexpr int SOUND_CLIENTS = 4;
    SoakMachine &troubled = machineOf("catalogo");
    const ClientRequest endless{ "GET", SOAK_HOST, "/view/1", "", milliseconds(3000), "" };
    const ClientRequest sound{ "GET", SOAK_HOST, "/order/1", "", milliseconds(3000), "" };
    for (int i = 0; i < ENDLESS_CLIENTS; ++i) {
        addClient(troubled, endless, seconds(6), false);
    }
    for (int i = 0; i < SOUND_CLIENTS; ++i) {
        addClient(troubled, sound, seconds(6), true);
    }
    std::this_thread::sleep_for(seconds(1));
    ServerFaults faults;
    faults.endless = 0.2;
    troubled.server->setFaults(faults);
    waitForClients();
    checkMemory();
    CHECK_COMPARE(m_served, >, MIN_SERVED_SHARE * m_sent);
}
