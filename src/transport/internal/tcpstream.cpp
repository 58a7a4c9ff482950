#include "transport/internal/tcpstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace ivyspar {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t READ_BYTES = 16 * 1024;
/// An empty input buffer with a larger capacity is freed.
constexpr std::size_t MAX_RETAINED_INPUT_BYTES = 1024;

/// Filled and emptied within one callback and thus shared by all streams of a thread. A buffer per
/// pending read would cost memory for every idle connection.
// NOLINTNEXTLINE(readability-identifier-naming): a variable, though clang-tidy sees a constant.
thread_local std::array<char, READ_BYTES> readBuffer;

} // namespace

TcpStream::TcpStream(tcp::socket socket)
    : m_socket(std::move(socket))
{
    if (m_socket.is_open()) {
        ErrorCode ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
    }
}

TcpStream::ErrorCode TcpStream::connect(const tcp::endpoint &endpoint)
{
    ErrorCode result = asio::error::would_block;
    m_socket.async_connect(endpoint, [self = TcpStreamPtr(this), &result](const ErrorCode &error) {
        result = error;
        self->m_writer.wake();
    });
    m_writer.wait();
    if (result) {
        return result;
    }
    // Without a listener, a connect to an ephemeral port of the same host can connect to itself
    // (TCP simultaneous open): the request would come back as its own response.
    ErrorCode ignored;
    if (m_socket.local_endpoint(ignored) == endpoint) {
        close();
        return asio::error::connection_refused;
    }
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, result);
    return result;
}

TcpStream::ErrorCode TcpStream::read()
{
    startRead();
    if (m_isReading) {
        m_reader.wait();
        return m_lastReadError;
    }
    return m_readError;
}

void TcpStream::startRead()
{
    if (m_isReading || m_readError) {
        return;
    }
    m_isReading = true;
    m_socket.async_wait(
        tcp::socket::wait_read,
        [self = TcpStreamPtr(this)](const ErrorCode &error) { self->onReadable(error); });
}

void TcpStream::onReadable(const ErrorCode &error)
{
    m_isReading = false;
    m_lastReadError = error ? error : readAvailable();
    if (m_lastReadError == asio::error::would_block) {
        startRead();
        return;
    }
    if (m_lastReadError == asio::error::eof && m_failure) {
        m_lastReadError = m_failure;
    }
    if (m_lastReadError != asio::error::operation_aborted) {
        m_readError = m_lastReadError;
    }
    if (const auto observer = std::exchange(m_onRead, {})) {
        observer();
    }
    m_reader.wake();
}

TcpStream::ErrorCode TcpStream::readAvailable()
{
    ErrorCode error;
    const std::size_t count = m_socket.read_some(asio::buffer(readBuffer), error);
    m_input.append(readBuffer.data(), count);
    return error;
}

void TcpStream::consume(std::size_t count)
{
    m_consumed += count;
    if (m_consumed < m_input.size()) {
        dropConsumed();
        return;
    }
    m_consumed = 0;
    m_input.clear();
    if (m_input.capacity() > MAX_RETAINED_INPUT_BYTES) {
        m_input.shrink_to_fit();
    }
}

/// Moves the rest of the input only after many consumed bytes, as each move copies it.
void TcpStream::dropConsumed()
{
    if (m_consumed >= std::max(READ_BYTES, m_input.size() / 2)) {
        m_input.erase(0, m_consumed);
        m_consumed = 0;
    }
}

/// Writes synchronously and suspends only if the kernel's buffer is full: an asynchronous write
/// would cost another loop iteration.
TcpStream::ErrorCode TcpStream::write(std::string_view head, std::string_view body,
                                      std::size_t &written)
{
    written = 0;
    while (!head.empty() || !body.empty()) {
        const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head.data(), head.size()),
                                                         asio::buffer(body.data(), body.size()) };
        ErrorCode error;
        const std::size_t count = m_socket.write_some(buffers, error);
        if (error == asio::error::would_block) {
            error = waitWritable();
        }
        if (error) {
            keepFailure(error);
            return error;
        }
        written += count;
        const std::size_t ofHead = std::min(count, head.size());
        head.remove_prefix(ofHead);
        body.remove_prefix(count - ofHead);
    }
    return {};
}

TcpStream::ErrorCode TcpStream::waitWritable()
{
    m_socket.async_wait(tcp::socket::wait_write,
                        [self = TcpStreamPtr(this)](const ErrorCode &error) {
                            self->m_writeError = error;
                            self->m_writer.wake();
                        });
    m_writer.wait();
    return m_writeError;
}

bool TcpStream::isIdle()
{
    if (!m_socket.is_open() || m_isReading || !input().empty()) {
        return false;
    }
    return peek() == Pending::Nothing;
}

void TcpStream::detectPeerClose()
{
    if (!m_readError && m_socket.is_open() && peek() == Pending::End) {
        m_readError = m_failure ? m_failure : asio::error::eof;
    }
}

void TcpStream::keepFailure(const ErrorCode &error)
{
    if (!m_failure && error != asio::error::operation_aborted) {
        m_failure = error;
    }
}

TcpStream::Pending TcpStream::peek()
{
    char byte = 0;
    const auto result = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (result > 0) {
        return Pending::Bytes;
    }
    if (result == 0) {
        return Pending::End;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return Pending::Nothing;
    }
    keepFailure(ErrorCode(errno, boost::system::system_category()));
    return Pending::End;
}

void TcpStream::cancel()
{
    ErrorCode ignored;
    m_socket.cancel(ignored);
}

void TcpStream::close()
{
    ErrorCode ignored;
    m_socket.close(ignored);
}

void TcpStream::shutdownSend()
{
    ErrorCode ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

std::size_t TcpStream::available()
{
    ErrorCode ignored;
    return m_socket.available(ignored);
}

RetVal<tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return makeError(ErrorCode::InvalidArgument,
                         '"' + endpoint.address + "\" is not an IP address");
    }
    return tcp::endpoint(address, endpoint.port);
}

Endpoint fromTcpEndpoint(const tcp::endpoint &endpoint)
{
    return Endpoint{ endpoint.address().to_string(), endpoint.port() };
}

RetVal<Endpoint> openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    const auto target = toTcpEndpoint(endpoint);
    if (!target) {
        return tl::unexpected<Error>(target.error());
    }
    boost::system::error_code error;
    acceptor.open(target->protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(*target, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return makeError(ErrorCode::Unavailable,
                         "cannot listen on " + endpoint.text() + ": " + error.message());
    }
    acceptor.non_blocking(true, error);
    return fromTcpEndpoint(acceptor.local_endpoint(error));
}

} // namespace ivyspar
