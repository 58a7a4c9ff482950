#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "net.h"

// Stand-ins for the platform: its store, its servers, its clients, and what starts, watches and
// restarts the daemons. They follow the users' pages.

namespace review {

/// What was sent, answered and run, one line each.
class Record
{
public:
    /// `isShared`: another process has begun the file.
    explicit Record(const std::string &path, bool isShared = false);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start = nowMs();
};

/// The platform's log: appends, reads that wait, the newest record of each key.
class Store
{
public:
    bool start(const Address &address);
    /// Writes as the operator does.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Item
    {
        std::string key;
        std::string value;
    };
    using Topic = std::vector<Item>;

    void serve(Socket socket);
    std::string answer(const Message &request);
    std::string append(const Message &request);
    std::string read(const Message &request);
    std::string newest(const Message &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string type;
    std::string service;
    int timeoutMs = 5000;
    int attempts = 2;
};

/// The operator's document.
std::string makeManifest(int version, const std::vector<Route> &routes,
                         const std::vector<std::string> &services, int connections);

/// The process beside a server, as the platform starts it.
struct DaemonPlan
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    Address store;
    Address app;
    int memoryMb = 260;
    std::vector<std::string> zones;
};

class Daemon
{
public:
    Daemon(DaemonPlan plan, std::string folder, std::string program, Record &record);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void signal(int number);
    /// Kills the process; it isn't started again.
    void end();
    /// Waits for a readiness answer of 200.
    bool waitReady(int millis) const;
    bool isReady() const;
    /// Resident memory in MB, now and at its peak.
    int memoryMb() const;
    int peakMb() const;
    /// To be called often: kills the process beyond `memory_mb`, and starts a process again that
    /// has ended, as the platform does.
    void watch();
    bool isRunning() const { return m_process > 0; }
    int endsByMemory() const { return m_endsByMemory; }
    int endsBySignal() const { return m_endsBySignal; }
    int ends() const { return m_endsByMemory + m_endsBySignal; }

    const DaemonPlan &plan() const { return m_plan; }
    Address outbound() const { return { m_plan.ip, m_outbound }; }
    Address control() const { return { m_plan.ip, m_control }; }

private:
    void writeSettings() const;
    void noteEnd(int status);

    DaemonPlan m_plan;
    std::string m_folder;
    std::string m_program;
    Record &m_record;
    std::uint16_t m_inbound;
    std::uint16_t m_outbound;
    std::uint16_t m_ready;
    std::uint16_t m_control;
    std::uint16_t m_peer;
    int m_process = 0;
    bool m_isOverMemory = false;
    std::int64_t m_restartAt = 0;
    int m_endsByMemory = 0;
    int m_endsBySignal = 0;
};

struct ServerRequest
{
    Message message;
    Socket &socket;
    std::string id;
};

/// A server: reports itself, answers liveness checks, and runs requests with `onRequest`.
class Server
{
public:
    /// Writes the whole answer. Returns whether the connection stays open.
    using OnRequest = std::function<bool(ServerRequest &)>;

    Server(std::string instance, std::string service, Address address, Address control, int slots,
           Record &record);

    bool start(OnRequest onRequest);
    /// Ends as a process that crashes: its port and all its connections are closed.
    void crash();
    /// Reports that it leaves, and goes on serving.
    void drain();
    const std::string &instance() const { return m_instance; }
    /// A sound answer to `request`.
    std::string answer(const ServerRequest &request, const std::string &body) const;

private:
    void serve(Socket socket);
    void serveAll(Socket &socket);
    void report();

    std::string m_instance;
    std::string m_service;
    Address m_address;
    Address m_control;
    int m_slots;
    Record &m_record;
    OnRequest m_onRequest;
    Listener m_listener;
    std::mutex m_mutex;
    std::set<const Socket *> m_open;
    std::atomic<bool> m_isCrashed{ false };
    std::atomic<bool> m_isDraining{ false };
};

struct ClientResult
{
    ReadResult read = ReadResult::Ended;
    Message answer;
    std::int64_t tookMs = 0;
};

/// Sends one request on `socket` and waits for its answer.
ClientResult ask(Socket &socket, std::string &buffer, const std::string &request, int deadlineMs);

std::string makeId();
std::string concat(const std::vector<std::string> &parts);
const char *toText(ReadResult result);

} // namespace review
