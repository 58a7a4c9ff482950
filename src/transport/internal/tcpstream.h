#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <boost/system/error_code.hpp>

#include "state/endpoint.h"
#include "state/result.h"
#include "transport/internal/fiberwaiter.h"

namespace ivyspar {

/// A TCP connection for one fiber, with a buffer for what arrived and was not yet consumed.
///
/// One read may stay pending while the fiber does something else; that is how an end of the
/// connection is noticed at no cost: the same read takes the next request.
class TcpStream : public boost::intrusive_ref_counter<TcpStream, boost::thread_unsafe_counter>
{
public:
    using ErrorCode = boost::system::error_code;

    explicit TcpStream(boost::asio::ip::tcp::socket socket);

    /// Suspends the calling fiber.
    ErrorCode connect(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Suspends the calling fiber until more input is there.
    ErrorCode read();
    /// Makes sure that a read is pending, unless one has failed.
    void startRead();
    /// Suspends the calling fiber until all is handed to the kernel. `written` counts the bytes,
    /// also on an error.
    ErrorCode write(std::string_view head, std::string_view body, std::size_t &written);

    std::string_view input() const { return std::string_view(m_input).substr(m_consumed); }
    void consume(std::size_t count);
    /// Why nothing more can be read; no error while the connection lives.
    const ErrorCode &readError() const { return m_readError; }
    /// Called once, after the next read that completes; empty for none.
    void setReadObserver(std::function<void()> observer) { m_onRead = std::move(observer); }

    /// Looks whether the other side has closed the connection behind what was read; `readError`
    /// tells so from then on. Costs a system call.
    void detectPeerClose();
    /// Whether the other side has neither closed the connection nor sent anything unasked.
    bool isIdle();
    /// Ends what is pending with an error; the connection stays usable.
    void cancel();
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Tells the other side that no more comes.
    void shutdownSend();
    std::size_t available();
    /// Gives up the socket, after which the stream is closed.
    boost::asio::ip::tcp::socket takeSocket() { return std::move(m_socket); }

private:
    enum class Pending { Nothing, Bytes, End };

    Pending peek();
    void onReadable(const ErrorCode &error);
    ErrorCode readAvailable();
    ErrorCode waitWritable();

    boost::asio::ip::tcp::socket m_socket;
    FiberWaiter m_reader;
    FiberWaiter m_writer;
    std::string m_input;
    std::size_t m_consumed = 0;
    ErrorCode m_readError;
    ErrorCode m_lastReadError;
    ErrorCode m_writeError;
    bool m_isReading = false;
    std::function<void()> m_onRead;
};
using TcpStreamPtr = boost::intrusive_ptr<TcpStream>;

RetVal<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint);
Endpoint fromTcpEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);
/// Opens `acceptor` and listens. Returns the endpoint with the port that it got.
RetVal<Endpoint> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace ivyspar
