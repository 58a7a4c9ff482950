#include "deployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>

#include <unistd.h>

namespace review {

namespace {

constexpr std::uint16_t METRICS_PORT = 9464;
constexpr int READY_MS = 15'000;
/// How long after a failure a client waits before it sends its next request.
constexpr int PAUSE_MS = 100;
constexpr int DEADLINE_MS = 5000;

/// The first part of addresses at which nobody listens on the port of the metrics.
std::string freePrefix()
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int part = 10 + (static_cast<int>(::getpid()) + attempt) % 200;
        std::string prefix = "127." + std::to_string(part) + ".1.";
        if (isFree({ prefix + '1', METRICS_PORT })) {
            return prefix;
        }
    }
    return "127.9.1.";
}

std::string makeFolder()
{
    std::string pattern = "/tmp/review-XXXXXX";
    return ::mkdtemp(pattern.data()) ? pattern : std::string("/tmp");
}

} // namespace

Deployment::Deployment(const std::string &program, Record &record)
    : m_record(record)
    , m_program(program)
    , m_folder(makeFolder())
    , m_ipPrefix(freePrefix())
    , m_storeAddress{ m_ipPrefix + "250", freePort(m_ipPrefix + "250") }
{
}

Deployment::~Deployment()
{
    stop();
}

bool Deployment::startStore(const std::string &manifest)
{
    m_store.put("keyed.op", "config", manifest);
    return m_store.start(m_storeAddress);
}

Machine *Deployment::add(const std::string &service, const std::string &zone, int slots,
                         Server::OnRequest onRequest)
{
    const std::string number = std::to_string(m_machines.size() + 1);
    DaemonPlan plan;
    plan.name = "machine-" + number;
    plan.ip = m_ipPrefix + number;
    plan.zone = zone;
    plan.zones = { "zone-a", "zone-b" };
    plan.service = service;
    plan.store = m_storeAddress;
    plan.app = { plan.ip, freePort(plan.ip) };
    auto machine = std::make_unique<Machine>();
    machine->daemon = std::make_unique<Daemon>(plan, m_folder, m_program, m_record);
    machine->server = std::make_unique<Server>(service + '-' + number, service, plan.app,
                                               machine->daemon->control(), slots, m_record);
    machine->daemon->start();
    if (onRequest && !machine->server->start(std::move(onRequest))) {
        return nullptr;
    }
    m_machines.push_back(std::move(machine));
    return m_machines.back().get();
}

bool Deployment::waitReady()
{
    for (const auto &machine : m_machines) {
        if (!machine->daemon->waitReady(READY_MS)) {
            m_record.write("platform: " + machine->daemon->plan().name + " isn't ready");
            return false;
        }
    }
    return true;
}

void Deployment::startWatch()
{
    m_watcher = std::thread([this] {
        while (!m_isStopping) {
            for (const auto &machine : m_machines) {
                machine->daemon->watch();
            }
            sleepMs(2);
        }
    });
}

void Deployment::stop()
{
    m_isStopping = true;
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    for (const auto &machine : m_machines) {
        machine->daemon->end();
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Ledger::run(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_run.insert(id);
}

void Ledger::lost(const std::string &machine, const std::string &id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_lost[machine].push_back(id);
}

void Ledger::answered(int status)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_answers[status];
}

std::size_t Ledger::mostLost() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t most = 0;
    for (const auto &[machine, ids] : m_lost) {
        std::size_t count = 0;
        for (const std::string &id : ids) {
            count += m_run.count(id);
        }
        most = std::max(most, count);
    }
    return most;
}

std::size_t Ledger::answers(int status) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_answers.find(status);
    return found == m_answers.end() ? 0 : found->second;
}

void keepAsking(Daemon &daemon, const Route &route, const std::string &name, std::int64_t until,
                Ledger &ledger, Record &record)
{
    Socket socket;
    std::string buffer;
    bool isKept = false;
    const bool isSafe = route.type == "safe";
    while (nowMs() < until) {
        if (!socket.isOpen()) {
            socket = connectTo(daemon.outbound(), 1000);
            buffer.clear();
            isKept = false;
        }
        if (!socket.isOpen()) {
            sleepMs(PAUSE_MS);
            continue;
        }
        const std::string id = makeId();
        const ClientResult result =
            ask(socket, buffer,
                formatRequest(isSafe ? "GET" : "POST", route.prefix + name,
                              { { "Host", route.host },
                                { "X-Ivyspar-Attempt-Id", id },
                                { "X-Ivyspar-Deadline-Ms", std::to_string(DEADLINE_MS) } },
                              isSafe ? "" : "one"),
                2 * DEADLINE_MS);
        if (result.read == ReadResult::Whole) {
            ledger.answered(result.answer.status);
            isKept = true;
            if (result.answer.header("connection") == "close") {
                socket.close();
            }
            if (result.answer.status != 200) {
                sleepMs(PAUSE_MS);
            }
            continue;
        }
        record.write(concat({ "client ", name, " at ", daemon.plan().name, ": id ", id, ", ",
                              toText(result.read), isKept ? ", on a kept connection" : "" }));
        const bool isCut = result.read == ReadResult::Ended || result.read == ReadResult::Cut;
        if (isKept && isCut) {
            ledger.lost(daemon.plan().name, id);
        }
        socket.close();
    }
}

void KeptClients::add(std::size_t count, Daemon &daemon, const Route &route, std::int64_t until,
                      Ledger &ledger, Record &record)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = route.name + '-' + std::to_string(m_threads.size());
        m_threads.emplace_back([&daemon, route, name, until, &ledger, &record] {
            keepAsking(daemon, route, name, until, ledger, record);
        });
    }
}

void KeptClients::join()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

std::string daemonProgram()
{
    const char *program = std::getenv("DAEMON");
    return program ? program : "target/ivyspar-platform";
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace review
