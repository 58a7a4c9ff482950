#include "net.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <set>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t READ_BYTES = 64 * 1024;
constexpr int BACKLOG = 1024;

sockaddr_in toNative(const Address &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

int openBound(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in native = toNative(address);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool parseHead(const std::string &head, Message &message)
{
    const std::size_t lineEnd = head.find("\r\n");
    const std::string line = head.substr(0, lineEnd);
    const std::size_t first = line.find(' ');
    if (first == std::string::npos) {
        return false;
    }
    if (line.compare(0, 5, "HTTP/") == 0) {
        message.status = std::atoi(line.c_str() + first + 1);
    } else {
        message.method = line.substr(0, first);
        message.target = line.substr(first + 1, line.rfind(' ') - first - 1);
    }
    std::size_t at = lineEnd;
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string field = head.substr(at + 2, next - at - 2);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = field.find_first_not_of(' ', colon + 1);
            message.headers[toLower(field.substr(0, colon))] =
                value == std::string::npos ? "" : field.substr(value);
        }
        at = next;
    }
    return true;
}

/// Waits until `buffer` has `size` bytes.
bool fill(const Socket &socket, std::string &buffer, std::size_t size)
{
    while (buffer.size() < size) {
        if (!socket.receive(buffer)) {
            return false;
        }
    }
    return true;
}

ReadResult failureOf(bool isEmpty)
{
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return ReadResult::TimedOut;
    }
    return isEmpty ? ReadResult::Ended : ReadResult::Cut;
}

ReadResult readChunks(const Socket &socket, std::string &buffer, Message &message)
{
    while (true) {
        std::size_t lineEnd = buffer.find("\r\n");
        while (lineEnd == std::string::npos) {
            if (!socket.receive(buffer)) {
                return failureOf(false);
            }
            lineEnd = buffer.find("\r\n");
        }
        const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        if (!fill(socket, buffer, lineEnd + 2 + size + 2)) {
            return failureOf(false);
        }
        message.body.append(buffer, lineEnd + 2, size);
        buffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0) {
            return ReadResult::Whole;
        }
    }
}

void appendHeaders(std::string &head,
                   const std::vector<std::pair<std::string, std::string>> &headers)
{
    for (const auto &[name, value] : headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}

std::uint16_t offeredPort(const std::string &ip)
{
    const int descriptor = openBound({ ip, 0 });
    sockaddr_in native{};
    socklen_t size = sizeof native;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&native), &size);
    ::close(descriptor);
    return ntohs(native.sin_port);
}

} // namespace

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::~Socket()
{
    close();
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    return *this;
}

bool Socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Socket::receive(std::string &buffer) const
{
    const std::size_t size = buffer.size();
    buffer.resize(size + READ_BYTES);
    errno = 0;
    const ssize_t count = ::recv(m_descriptor, &buffer[size], READ_BYTES, 0);
    buffer.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return count > 0;
}

void Socket::setTimeout(int millis) const
{
    const timeval limit{ millis / 1000, (millis % 1000) * 1000 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

void Socket::shutdown() const
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void Socket::reset()
{
    const linger now{ 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

Socket connectTo(const Address &address, int timeoutMs)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    socket.setTimeout(timeoutMs);
    const sockaddr_in native = toNative(address);
    if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&native), sizeof native)
        != 0) {
        socket.close();
    }
    return socket;
}

std::uint16_t freePort(const std::string &ip)
{
    // The kernel may offer the same port twice before somebody listens there.
    static std::set<std::uint16_t> given;
    while (true) {
        const std::uint16_t port = offeredPort(ip);
        if (given.insert(port).second) {
            return port;
        }
    }
}

bool isFree(const Address &address)
{
    const int descriptor = openBound(address);
    if (descriptor < 0) {
        return false;
    }
    ::close(descriptor);
    return true;
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::query(const std::string &name) const
{
    const std::size_t start = target.find('?');
    const std::string text = start == std::string::npos ? "" : '&' + target.substr(start + 1);
    const std::size_t at = text.find('&' + name + '=');
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t from = at + name.size() + 2;
    return text.substr(from, text.find('&', from) - from);
}

ReadResult readMessage(const Socket &socket, std::string &buffer, Message &message)
{
    std::size_t headEnd = buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!socket.receive(buffer)) {
            return failureOf(buffer.empty());
        }
        headEnd = buffer.find("\r\n\r\n");
    }
    const std::string head = buffer.substr(0, headEnd + 2);
    buffer.erase(0, headEnd + 4);
    if (!parseHead(head, message)) {
        return ReadResult::Malformed;
    }
    if (message.header("transfer-encoding") == "chunked") {
        return readChunks(socket, buffer, message);
    }
    const std::size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    if (!fill(socket, buffer, size)) {
        return failureOf(false);
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return ReadResult::Whole;
}

std::string formatRequest(const std::string &method, const std::string &target,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          const std::string &body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    appendHeaders(text, headers);
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    appendHeaders(text, headers);
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Listener::start(const Address &address, OnConnection onConnection)
{
    const int descriptor = openBound(address);
    if (descriptor < 0 || ::listen(descriptor, BACKLOG) != 0) {
        return false;
    }
    m_descriptor = descriptor;
    std::thread([descriptor, onConnection = std::move(onConnection)] {
        while (true) {
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                ::close(descriptor);
                return;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([accepted, onConnection] { onConnection(Socket(accepted)); }).detach();
        }
    }).detach();
    return true;
}

void Listener::stop()
{
    if (m_descriptor >= 0) {
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_descriptor = -1;
    }
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

} // namespace review
