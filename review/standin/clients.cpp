#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "commands.h"
#include "http.h"

namespace review {

namespace {

constexpr int MS_PER_S = 1000;

struct ClientSettings
{
    std::vector<std::string> entries;
    std::string method;
    std::string host;
    std::string path;
    std::string log;
    std::string kind;
    int deadlineMs = 0;
    int bodyBytes = 0;
};

/// Statuses that promise that the request has not run and never will.
bool isPromise(const std::string &status)
{
    return status == "503" || status == "429" || status == "408" || status == "421";
}

/// Sends requests on kept connections; a retry goes on a new one, with an id of its own.
class Clients
{
public:
    explicit Clients(ClientSettings settings)
        : m_settings(std::move(settings))
        , m_random(std::random_device{}())
    {
    }

    void send(std::size_t entry)
    {
        const std::string &daemon = m_settings.entries[entry % m_settings.entries.size()];
        const double end = now() + static_cast<double>(m_settings.deadlineMs) / MS_PER_S;
        Message answer;
        bool isKept = false;
        const ConnectionPtr connection = takeConnection(daemon, isKept);
        const std::string status = attempt(daemon, connection, isKept, end, answer);
        if (!isPromise(status)) {
            return;
        }
        const double left = end - now();
        const double wait = std::atof(answer.header("retry-after").c_str());
        std::this_thread::sleep_for(std::chrono::duration<double>(std::min(wait, left / 3)));
        attempt(daemon, open(daemon), false, end, answer);
    }

private:
    using ConnectionPtr = std::shared_ptr<Connection>;

    static ConnectionPtr open(const std::string &daemon)
    {
        const int socket = connectTo(daemon, MS_PER_S);
        return socket < 0 ? ConnectionPtr() : std::make_shared<Connection>(socket);
    }

    ConnectionPtr takeConnection(const std::string &daemon, bool &isKept)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            auto &idle = m_idle[daemon];
            while (!idle.empty()) {
                ConnectionPtr connection = idle.back();
                idle.pop_back();
                if (!connection->hasInput()) {
                    isKept = true;
                    return connection;
                }
            }
        }
        return open(daemon);
    }

    std::string attempt(const std::string &daemon, const ConnectionPtr &connection, bool isKept,
                        double end, Message &answer)
    {
        const int leftMs = static_cast<int>((end - now()) * MS_PER_S);
        const std::string id = newId();
        if (!connection || leftMs <= 0) {
            return {};
        }
        record(m_settings.log,
               "client sends " + id + ' ' + m_settings.method + ' ' + m_settings.host
                   + m_settings.path + ' ' + m_settings.kind + " to " + daemon
                   + (isKept ? " kept" : " new"));
        connection->write(m_settings.method + ' ' + m_settings.path + " HTTP/1.1\r\nHost: "
                          + m_settings.host + "\r\nX-Ivyspar-Attempt-Id: " + id
                          + "\r\nX-Ivyspar-Deadline-Ms: " + std::to_string(leftMs) + "\r\n"
                          + body());
        if (!connection->read(answer, leftMs)) {
            record(m_settings.log, "client gets " + id + " nothing");
            return {};
        }
        std::string status = answer.word(1);
        const std::string stamp = answer.header("x-ivyspar-response-stamp");
        record(m_settings.log,
               "client gets " + id + ' ' + status + " stamp=" + (stamp.empty() ? "none" : stamp)
                   + " bytes=" + std::to_string(answer.body.size()));
        if (answer.header("connection") != "close") {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_idle[daemon].push_back(connection);
        }
        return status;
    }

    std::string body() const
    {
        if (m_settings.method == "GET") {
            return "\r\n";
        }
        return "Content-Length: " + std::to_string(m_settings.bodyBytes) + "\r\n\r\n"
            + std::string(static_cast<std::size_t>(m_settings.bodyBytes), 'b');
    }

    std::string newId()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char text[20];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
        return text;
    }

    ClientSettings m_settings;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::map<std::string, std::vector<ConnectionPtr>> m_idle;
};

} // namespace

int runClients(const Flags &flags)
{
    ClientSettings settings;
    std::istringstream entries(flags.text("entries"));
    for (std::string entry; std::getline(entries, entry, ',');) {
        settings.entries.push_back(entry);
    }
    settings.method = flags.text("method", "GET");
    settings.host = flags.text("host");
    settings.path = flags.text("path");
    settings.log = flags.text("log");
    settings.kind = flags.text("kind", "safe");
    settings.deadlineMs = static_cast<int>(flags.number("deadline-ms", 6000));
    settings.bodyBytes = static_cast<int>(flags.number("body-bytes", 100));
    const double perSecond = flags.number("per-s", 10);
    const double seconds = flags.number("for-s", 10);
    const auto clients = std::make_shared<Clients>(settings);
    const auto count = static_cast<std::size_t>(perSecond * seconds);
    std::vector<std::thread> requests;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        std::this_thread::sleep_until(
            start + std::chrono::duration<double>(static_cast<double>(i) / perSecond));
        requests.emplace_back([clients, i] { clients->send(i); });
    }
    for (std::thread &request : requests) {
        request.join();
    }
    return 0;
}

} // namespace review
