#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"

namespace review {

constexpr int EXIT_HELD = 0;
constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_NOT_RUN = 2;

/// A machine with its daemon and its server.
struct Machine
{
    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<Server> server;
};

/// A small deployment on loopback addresses: a store, and machines beside servers.
class Deployment
{
public:
    Deployment(const std::string &program, Record &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    bool startStore(const std::string &manifest);
    /// Adds a machine whose server belongs to `service`; null if it can't be had. Without
    /// `onRequest` the server is a process of its own, which the case starts.
    Machine *add(const std::string &service, const std::string &zone, int slots,
                 Server::OnRequest onRequest);
    bool waitReady();
    /// Watches the processes in a thread of its own until `stop`.
    void startWatch();
    void stop();
    Record &record() { return m_record; }
    std::vector<std::unique_ptr<Machine>> &machines() { return m_machines; }

private:
    Record &m_record;
    std::string m_program;
    std::string m_folder;
    std::string m_ipPrefix;
    Address m_storeAddress;
    Store m_store;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::thread m_watcher;
    std::atomic<bool> m_isStopping{ false };
};

/// What became of the requests, for the rule LOST.
class Ledger
{
public:
    void run(const std::string &id);
    void lost(const std::string &machine, const std::string &id);
    void answered(int status);
    /// Requests on kept connections that a server ran and whose connections ended without an
    /// answer, for the machine with most of them.
    std::size_t mostLost() const;
    std::size_t answers(int status) const;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_run;
    std::map<std::string, std::vector<std::string>> m_lost;
    std::map<int, std::size_t> m_answers;
};

/// A client that keeps its connection and sends one request after the other.
void keepAsking(Daemon &daemon, const Route &route, const std::string &name, std::int64_t until,
                Ledger &ledger, Record &record);

/// Clients that keep their connections, in threads of their own.
class KeptClients
{
public:
    void add(std::size_t count, Daemon &daemon, const Route &route, std::int64_t until,
             Ledger &ledger, Record &record);
    void join();

private:
    std::vector<std::thread> m_threads;
};

/// The daemon's program, as the deploy file names it.
std::string daemonProgram();
bool hasTrouble();

} // namespace review
