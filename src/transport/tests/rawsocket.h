#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <string>
#include <utility>

#include "state/endpoint.h"

namespace ivyspar {

/// A blocking TCP socket, for tests that control every byte. Reads time out after 20 s, far longer
/// than a passing test needs.
class RawSocket
{
public:
    explicit RawSocket(int descriptor)
        : m_descriptor(descriptor)
    {
        const timeval limit{ 20, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~RawSocket() { close(); }
    RawSocket(RawSocket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    static RawSocket connectTo(const Endpoint &endpoint)
    {
        RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = toAddress(endpoint);
        if (::connect(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&address),
                      sizeof address)
            != 0) {
            socket.close();
        }
        return socket;
    }

    static RawSocket listenOn(const Endpoint &endpoint)
    {
        RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in address = toAddress(endpoint);
        const auto *generic = reinterpret_cast<const sockaddr *>(&address);
        if (::bind(socket.m_descriptor, generic, sizeof address) != 0
            || ::listen(socket.m_descriptor, SOMAXCONN) != 0) {
            socket.close();
        }
        return socket;
    }

    RawSocket accept() { return RawSocket(::accept(m_descriptor, nullptr, nullptr)); }

    Endpoint localEndpoint() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        char text[INET_ADDRSTRLEN] = {};
        ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
        return Endpoint{ text, ntohs(address.sin_port) };
    }

    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count =
                ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads until the input contains `end` and returns it up to and including `end`; returns all
    /// input if the connection closes first.
    std::string readUntil(const std::string &end)
    {
        std::size_t found = 0;
        while ((found = m_input.find(end)) == std::string::npos) {
            if (!readSome()) {
                return std::exchange(m_input, {});
            }
        }
        std::string result = m_input.substr(0, found + end.size());
        m_input.erase(0, found + end.size());
        return result;
    }

    std::string readToEnd()
    {
        while (readSome()) { }
        return std::exchange(m_input, {});
    }

    void shutdownSend() { ::shutdown(m_descriptor, SHUT_WR); }
    /// Closes with a reset instead of an orderly end.
    void reset()
    {
        const linger hard{ 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    void close()
    {
        if (m_descriptor >= 0) {
            ::close(std::exchange(m_descriptor, -1));
        }
    }

private:
    static sockaddr_in toAddress(const Endpoint &endpoint)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        return address;
    }

    bool readSome()
    {
        char buffer[4096];
        const auto count = ::recv(m_descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_input;
};

} // namespace ivyspar
