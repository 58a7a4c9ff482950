#include "standins/link/tcplink.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>
#include <vector>

namespace ivyspar::lab {

namespace {

constexpr int POLL_MS = 5;
constexpr std::size_t MOST_KEPT = 256 * 1024;
constexpr std::size_t CHUNK = 16 * 1024;
constexpr int BACKLOG = 64;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

sockaddr *generic(sockaddr_in &address)
{
    return reinterpret_cast<sockaddr *>(&address);
}

void prepare(int socket)
{
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::uint16_t portOf(int socket, int (*name)(int, sockaddr *, socklen_t *))
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    return name(socket, generic(address), &size) == 0 ? ntohs(address.sin_port) : 0;
}

/// Inode of the loopback socket with these ports, from a table of the kernel; 0 if there is none.
std::uint64_t findInode(const char *sockets, std::uint16_t localPort, std::uint16_t remotePort)
{
    std::ifstream table(sockets);
    std::string line;
    while (std::getline(table, line)) {
        unsigned local = 0;
        unsigned remote = 0;
        std::uint64_t inode = 0;
        const int read = std::sscanf(line.c_str(),
                                     " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d %" SCNu64,
                                     &local, &remote, &inode);
        if (read == 3 && local == localPort && remote == remotePort) {
            return inode;
        }
    }
    return 0;
}

bool hasSocket(pid_t process, std::uint64_t inode)
{
    const std::string folder = "/proc/" + std::to_string(process) + "/fd/";
    const std::string wanted = "socket:[" + std::to_string(inode) + ']';
    DIR *files = opendir(folder.c_str());
    if (!files) {
        return false;
    }
    bool isFound = false;
    while (const dirent *file = readdir(files)) {
        char text[64];
        const ssize_t size = readlink((folder + file->d_name).c_str(), text, sizeof(text));
        isFound = isFound || (size > 0 && wanted == std::string(text, size));
    }
    closedir(files);
    return isFound;
}

/// False when the connection has ended.
bool receive(int socket, std::string &kept)
{
    char chunk[CHUNK];
    const ssize_t size = recv(socket, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (size > 0) {
        kept.append(chunk, static_cast<std::size_t>(size));
        return true;
    }
    return size < 0 && (errno == EAGAIN || errno == EINTR);
}

bool deliver(int socket, std::string &kept)
{
    if (kept.empty()) {
        return true;
    }
    const ssize_t size = send(socket, kept.data(), kept.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) {
        kept.erase(0, static_cast<std::size_t>(size));
        return true;
    }
    return errno == EAGAIN || errno == EINTR;
}

} // namespace

TcpLink::TcpLink()
    : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = addressOf(Endpoint{ "127.0.0.1", 0 });
    if (bind(m_listener, generic(address), sizeof(address)) != 0
        || listen(m_listener, BACKLOG) != 0) {
        std::perror("link");
        std::exit(1);
    }
    prepare(m_listener);
    m_endpoint = Endpoint{ "127.0.0.1", portOf(m_listener, getsockname) };
    m_datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    address = addressOf(m_endpoint);
    if (bind(m_datagrams, generic(address), sizeof(address)) != 0) {
        std::perror("link");
        std::exit(1);
    }
    m_thread = std::thread([this] { run(); });
}

TcpLink::~TcpLink()
{
    m_isStopped = true;
    m_thread.join();
    for (const Connection &connection : m_connections) {
        close(connection.client);
        close(connection.server);
    }
    close(m_listener);
    close(m_datagrams);
}

void TcpLink::setTarget(const Endpoint &target)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_target = target;
}

void TcpLink::setSilentFor(std::set<pid_t> processes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_silent = std::move(processes);
    for (Connection &connection : m_connections) {
        judge(connection);
    }
}

void TcpLink::judge(Connection &connection) const
{
    connection.isSilent = false;
    for (const pid_t process : m_silent) {
        connection.isSilent = connection.isSilent || hasSocket(process, connection.inode);
    }
}

void TcpLink::acceptOne()
{
    const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(m_target);
    // Loopback answers at once, also for a stopped process: its kernel accepts.
    if (m_target.port == 0 || connect(server, generic(address), sizeof(address)) != 0) {
        close(server);
        close(client);
        return;
    }
    prepare(client);
    prepare(server);
    Connection connection;
    connection.client = client;
    connection.server = server;
    connection.inode = findInode("/proc/net/tcp", portOf(client, getpeername), m_endpoint.port);
    judge(connection);
    m_connections.push_back(std::move(connection));
}

void TcpLink::forward()
{
    for (Connection &connection : m_connections) {
        if (connection.isSilent) {
            continue;
        }
        const bool isOpen = (connection.toServer.size() > MOST_KEPT
                             || receive(connection.client, connection.toServer))
            && (connection.toClient.size() > MOST_KEPT
                || receive(connection.server, connection.toClient));
        const bool isDelivered = deliver(connection.server, connection.toServer)
            && deliver(connection.client, connection.toClient);
        connection.isClosed = !isOpen || !isDelivered;
    }
    m_connections.remove_if([](const Connection &connection) {
        if (connection.isClosed) {
            close(connection.client);
            close(connection.server);
        }
        return connection.isClosed;
    });
}

/// A socket that sends to many is bound to its own port and connected to none.
bool TcpLink::isSilentSender(std::uint16_t port) const
{
    if (m_silent.empty()) {
        return false;
    }
    const std::uint64_t inode = findInode("/proc/net/udp", port, 0);
    return std::any_of(m_silent.begin(), m_silent.end(),
                       [inode](pid_t process) { return hasSocket(process, inode); });
}

void TcpLink::forwardDatagrams()
{
    char datagram[CHUNK];
    while (true) {
        sockaddr_in sender{};
        socklen_t size = sizeof(sender);
        const ssize_t length =
            recvfrom(m_datagrams, datagram, sizeof(datagram), 0, generic(sender), &size);
        if (length < 0) {
            return;
        }
        if (m_target.port == 0 || isSilentSender(ntohs(sender.sin_port))) {
            continue;
        }
        sockaddr_in target = addressOf(m_target);
        (void)sendto(m_datagrams, datagram, static_cast<std::size_t>(length), 0, generic(target),
                     sizeof(target));
    }
}

void TcpLink::run()
{
    while (!m_isStopped) {
        std::vector<pollfd> polled{ pollfd{ m_listener, POLLIN, 0 },
                                    pollfd{ m_datagrams, POLLIN, 0 } };
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const Connection &connection : m_connections) {
                if (!connection.isSilent) {
                    polled.push_back(pollfd{ connection.client, POLLIN, 0 });
                    polled.push_back(pollfd{ connection.server, POLLIN, 0 });
                }
            }
        }
        poll(polled.data(), polled.size(), POLL_MS);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if ((polled.front().revents & POLLIN) != 0) {
            acceptOne();
        }
        forward();
        forwardDatagrams();
    }
}

} // namespace ivyspar::lab
