#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

// Blocking sockets and HTTP/1.1, one thread for each connection. Written for the cases of this
// review only.

namespace review {

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

/// A connected socket; closes itself.
class Socket
{
public:
    explicit Socket(int descriptor = -1);
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    /// Ends the connection for both sides; for other threads than that of the connection.
    void shutdown() const;
    bool send(const std::string &bytes) const;
    /// Appends what arrives to `buffer`. False at the end, after a reset or a time-out.
    bool receive(std::string &buffer) const;
    void setTimeout(int millis) const;
    void close();
    /// Closes so that the peer sees a reset.
    void reset();

private:
    int m_descriptor = -1;
};

Socket connectTo(const Address &address, int timeoutMs);
/// A free port at `ip`; 0 if there is none.
std::uint16_t freePort(const std::string &ip);
bool isFree(const Address &address);

struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    std::string query(const std::string &name) const;
};

enum class ReadResult {
    Whole,
    Ended, ///< The connection ended before the first byte.
    Cut, ///< The connection ended, or was reset, in the message.
    TimedOut,
    Malformed,
};

/// Reads one message; `buffer` keeps what follows it.
ReadResult readMessage(const Socket &socket, std::string &buffer, Message &message);

std::string formatRequest(const std::string &method, const std::string &target,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          const std::string &body);
std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           const std::string &body);

/// Calls `onConnection` in a thread of its own for each connection.
class Listener
{
public:
    using OnConnection = std::function<void(Socket)>;

    bool start(const Address &address, OnConnection onConnection);
    /// Closes the port; connections stay.
    void stop();

private:
    int m_descriptor = -1;
};

std::int64_t nowMs();
void sleepMs(std::int64_t millis);

} // namespace review
