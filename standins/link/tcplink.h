#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "state/endpoint.h"

namespace ivyspar::lab {

/// Stand-in for the network in front of one daemon: forwards the bytes of TCP connections and the
/// datagrams that arrive at the same port, and can keep those of chosen processes back, as a
/// network partition does: nothing is closed or refused, nothing arrives. After the partition what
/// was kept back of connections arrives; datagrams are lost. Runs in a thread of its own.
class TcpLink
{
public:
    /// Opens a port at once, before its target is known. Ends the program when that fails.
    TcpLink();
    ~TcpLink();

    TcpLink(const TcpLink &) = delete;
    TcpLink &operator=(const TcpLink &) = delete;

    const Endpoint &endpoint() const { return m_endpoint; }
    void setTarget(const Endpoint &target);
    /// Connections that these processes opened carry nothing; all others do.
    void setSilentFor(std::set<pid_t> processes);

private:
    struct Connection
    {
        int client = -1;
        int server = -1;
        /// Identifies the socket of the process that opened the connection.
        std::uint64_t inode = 0;
        std::string toServer;
        std::string toClient;
        bool isSilent = false;
        bool isClosed = false;
    };

    void run();
    void acceptOne();
    void judge(Connection &connection) const;
    void forward();
    void forwardDatagrams();
    bool isSilentSender(std::uint16_t port) const;

    int m_listener = -1;
    int m_datagrams = -1;
    Endpoint m_endpoint;
    std::mutex m_mutex;
    Endpoint m_target;
    std::set<pid_t> m_silent;
    std::list<Connection> m_connections;
    std::atomic<bool> m_isStopped{ false };
    std::thread m_thread;
};

} // namespace ivyspar::lab
