#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace review {

namespace {

constexpr int BACKLOG = 512;
constexpr int MS_PER_S = 1000;
constexpr int US_PER_MS = 1000;

bool parseEndpoint(const std::string &endpoint, sockaddr_in &address)
{
    const auto colon = endpoint.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(endpoint.c_str() + colon + 1)));
    return inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

void setTimeout(int socket, int option, int timeoutMs)
{
    timeval time{};
    time.tv_sec = timeoutMs / MS_PER_S;
    time.tv_usec = static_cast<suseconds_t>(timeoutMs % MS_PER_S) * US_PER_MS;
    setsockopt(socket, SOL_SOCKET, option, &time, sizeof time);
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

void parseHead(const std::string &head, Message &message)
{
    std::istringstream lines(head);
    std::string line;
    message = Message();
    std::getline(lines, message.start);
    message.start.erase(std::remove(message.start.begin(), message.start.end(), '\r'),
                        message.start.end());
    while (std::getline(lines, line)) {
        line.erase(std::remove(line.begin(), line.end(), '\r'), line.end());
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
}

} // namespace

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::word(int place) const
{
    std::istringstream words(start);
    std::string word;
    for (int i = 0; i <= place && words >> word; ++i) { }
    return words ? word : std::string();
}

Connection::Connection(int socket)
    : m_socket(socket)
{
    setNoDelay(socket);
}

Connection::~Connection()
{
    ::close(m_socket);
}

bool Connection::readMore()
{
    char bytes[65536];
    const auto count = ::recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    m_input.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::read(Message &message, int timeoutMs)
{
    setTimeout(m_socket, SO_RCVTIMEO, timeoutMs);
    std::size_t end = std::string::npos;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    parseHead(m_input.substr(0, end + 2), message);
    m_input.erase(0, end + 4);
    const auto length = static_cast<std::size_t>(
        std::strtoull(message.header("content-length").c_str(), nullptr, 10));
    while (m_input.size() < length) {
        if (!readMore()) {
            return false;
        }
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return true;
}

bool Connection::write(const std::string &bytes)
{
    const std::lock_guard<std::mutex> lock(m_writing);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::hasInput() const
{
    pollfd poll{ m_socket, POLLIN, 0 };
    return !m_input.empty() || ::poll(&poll, 1, 0) > 0;
}

int openListener(const std::string &endpoint)
{
    sockaddr_in address{};
    if (!parseEndpoint(endpoint, address)) {
        return -1;
    }
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, BACKLOG) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

int acceptOn(int listener)
{
    return ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
}

int connectTo(const std::string &endpoint, int timeoutMs)
{
    sockaddr_in address{};
    if (!parseEndpoint(endpoint, address)) {
        return -1;
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setTimeout(socket, SO_SNDTIMEO, timeoutMs);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    setTimeout(socket, SO_SNDTIMEO, 0);
    return socket;
}

std::string encodeBase64(const std::string &bytes)
{
    constexpr char DIGITS[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned BITS = 6;
    std::string text;
    unsigned held = 0;
    unsigned count = 0;
    for (const char c : bytes) {
        held = (held << 8U) | static_cast<unsigned char>(c);
        count += 8;
        while (count >= BITS) {
            count -= BITS;
            text += DIGITS[(held >> count) & 63U];
        }
        held &= 255U;
    }
    if (count > 0) {
        text += DIGITS[(held << (BITS - count)) & 63U];
    }
    while (text.size() % 4 != 0) {
        text += '=';
    }
    return text;
}

double now()
{
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void record(const std::string &file, const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%.4f ", now());
    const std::string text = time + line + '\n';
    const int log = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0 || ::write(log, text.data(), text.size()) < 0) {
        std::fprintf(stderr, "standin: cannot write %s\n", file.c_str());
    }
    if (log >= 0) {
        ::close(log);
    }
}

} // namespace review
