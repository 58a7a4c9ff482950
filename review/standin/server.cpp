#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "commands.h"
#include "http.h"

namespace review {

namespace {

struct ServerSettings
{
    std::string id;
    std::string service;
    std::string listen;
    std::string control;
    std::string zone;
    std::string log;
    int slots = 0;
    int workMs = 0;
    int heartbeatMs = 0;
    std::size_t bodyBytes = 0;
    /// Share of the requests that are rejected although there is a free slot.
    double shed = 0;
    /// Share of the responses of which a second copy follows.
    double extra = 0;
    int extraAfterMs = 0;
    /// Length of the spells in which it rejects and sends again, and the pause after each.
    double spell = 0;
    double pause = 0;
    unsigned seed = 0;
    /// The process ends when it begins to run a request with this path.
    std::string deadlyPath;
    /// Start of this lifetime in Unix milliseconds; 0: the reports do not name it.
    std::uint64_t born = 0;
};

class Server
{
public:
    explicit Server(ServerSettings settings)
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_start(now())
    {
    }

    void serve(int socket)
    {
        const auto connection = std::make_shared<Connection>(socket);
        Message request;
        while (connection->read(request)) {
            const std::string response = answer(request);
            if (!connection->write(response)) {
                return;
            }
            if (request.word(1) != "/healthz" && isInSpell() && draw() < m_settings.extra) {
                sendAgain(connection, response, request.header("x-ivyspar-attempt-id"));
            }
        }
    }

    /// Reports until the process ends, as a server does every `heartbeat`.
    void report()
    {
        for (int sequence = 1;; ++sequence) {
            const std::string born =
                m_settings.born == 0 ? "" : "\"born\":" + std::to_string(m_settings.born) + ',';
            const std::string body = '{' + born + "\"address\":\"" + m_settings.listen
                + R"(","info":{"service":")" + m_settings.service + R"(","version":"v1","zone":")"
                + m_settings.zone + "\",\"slots\":" + std::to_string(m_settings.slots)
                + R"(},"status":{"phase":"ready","sequence":)" + std::to_string(sequence)
                + ",\"cold_left\":\"0ms\"}}";
            const int socket = connectTo(m_settings.control, 1000);
            if (socket >= 0) {
                Connection connection(socket);
                Message response;
                connection.write("PUT /api/instances/" + m_settings.id
                                 + " HTTP/1.1\r\nHost: daemon\r\nContent-Type: application/json\r\n"
                                   "Connection: close\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body);
                connection.read(response, 1000);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.heartbeatMs));
        }
    }

private:
    double draw()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    bool isInSpell() const
    {
        const double length = m_settings.spell + m_settings.pause;
        return length <= 0 || std::fmod(now() - m_start, length) >= m_settings.pause;
    }

    std::string load() const
    {
        return "X-Ivyspar-Server-Load: " + std::to_string(m_running) + ",0,"
            + std::to_string(m_settings.slots) + "\r\n";
    }

    std::string answer(const Message &request)
    {
        const std::string id = request.header("x-ivyspar-attempt-id");
        if (request.word(1) == "/healthz") {
            return "HTTP/1.1 200 OK\r\nX-Ivyspar-Instance-Id: " + m_settings.id + "\r\n" + load()
                + "Content-Length: 0\r\n\r\n";
        }
        const std::string expected = request.header("x-ivyspar-expect-instance");
        if (!expected.empty() && expected != m_settings.id) {
            return "HTTP/1.1 421 Misdirected Request\r\nX-Ivyspar-Attempt-Id: " + id
                + "\r\nX-Ivyspar-Instance-Id: " + m_settings.id + "\r\nContent-Length: 0\r\n\r\n";
        }
        if (m_running >= m_settings.slots || (isInSpell() && draw() < m_settings.shed)) {
            record(m_settings.log, m_settings.id + " rejects " + id);
            return "HTTP/1.1 503 Service Unavailable\r\nX-Ivyspar-Attempt-Id: " + id
                + "\r\nX-Ivyspar-Not-Executed: 1\r\n" + load() + "Content-Length: 0\r\n\r\n";
        }
        return run(request, id);
    }

    std::string run(const Message &request, const std::string &id)
    {
        ++m_running;
        record(m_settings.log,
               m_settings.id + " runs " + id + ' ' + request.word(0) + ' ' + request.word(1));
        if (request.word(1) == m_settings.deadlyPath) {
            record(m_settings.log, m_settings.id + " crashes-at " + id);
            ::_exit(1);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.workMs));
        --m_running;
        const std::string stamp = m_settings.id + '.' + id;
        const std::string body = stamp + std::string(m_settings.bodyBytes, '.');
        record(m_settings.log,
               m_settings.id + " ended " + id + " 200 bytes=" + std::to_string(body.size()));
        return "HTTP/1.1 200 OK\r\nX-Ivyspar-Attempt-Id: " + id
            + "\r\nX-Ivyspar-Response-Stamp: " + stamp + "\r\n" + load()
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void sendAgain(const std::shared_ptr<Connection> &connection, const std::string &response,
                   const std::string &id)
    {
        std::thread([this, connection, response, id] {
            std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.extraAfterMs));
            if (connection->write(response)) {
                record(m_settings.log, m_settings.id + " answers-again " + id);
            }
        }).detach();
    }

    ServerSettings m_settings;
    std::mutex m_mutex;
    std::mt19937 m_random;
    double m_start;
    std::atomic<int> m_running{ 0 };
};

int serve(const ServerSettings &settings)
{
    const int listener = openListener(settings.listen);
    if (listener < 0) {
        return 2;
    }
    const auto server = std::make_shared<Server>(settings);
    std::thread([server] { server->report(); }).detach();
    while (true) {
        const int socket = acceptOn(listener);
        if (socket < 0) {
            return 2;
        }
        std::thread([server, socket] { server->serve(socket); }).detach();
    }
}

/// Starts the server again, each time in a process of its own, some time after it has crashed.
int keepRunning(ServerSettings settings, int pauseMs, bool hasNewIds)
{
    const std::string firstId = settings.id;
    for (int lifetime = 1;; ++lifetime) {
        settings.id = hasNewIds ? firstId + '-' + std::to_string(lifetime) : firstId;
        settings.born = static_cast<std::uint64_t>(now() * 1000);
        const pid_t parent = ::getpid();
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::_exit(::getppid() == parent ? serve(settings) : 2);
        }
        record(settings.log, settings.id + " starts");
        ::waitpid(child, nullptr, 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
    }
}

} // namespace

int runServer(const Flags &flags)
{
    ServerSettings settings;
    settings.id = flags.text("id");
    settings.service = flags.text("service");
    settings.listen = flags.text("listen");
    settings.control = flags.text("control");
    settings.zone = flags.text("zone");
    settings.log = flags.text("log");
    settings.slots = static_cast<int>(flags.number("slots", 50));
    settings.workMs = static_cast<int>(flags.number("work-ms", 50));
    settings.heartbeatMs = static_cast<int>(flags.number("heartbeat-ms", 1500));
    settings.bodyBytes = static_cast<std::size_t>(flags.number("body-bytes", 1000));
    settings.shed = flags.number("shed", 0);
    settings.extra = flags.number("extra", 0);
    settings.extraAfterMs = static_cast<int>(flags.number("extra-after-ms", 20));
    settings.spell = flags.number("spell-s", 0);
    settings.pause = flags.number("pause-s", 0);
    settings.seed = static_cast<unsigned>(flags.number("seed", 1));
    settings.deadlyPath = flags.text("deadly-path");
    const int restartAfterMs = static_cast<int>(flags.number("restart-after-ms", 0));
    if (restartAfterMs > 0) {
        return keepRunning(settings, restartAfterMs, flags.number("new-ids", 0) > 0);
    }
    return serve(settings);
}

} // namespace review
