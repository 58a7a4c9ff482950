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

/// A TCP connection used by one fiber, with a buffer for received bytes not yet consumed.
///
/// One read may stay pending while the fiber does something else. This detects a close by the peer
/// at no extra cost, as the same read receives the next request.
class TcpStream : public boost::intrusive_ref_counter<TcpStream, boost::thread_unsafe_counter>
{
public:
    using ErrorCode = boost::system::error_code;

    explicit TcpStream(boost::asio::ip::tcp::socket socket);

    /// Suspends the calling fiber.
    ErrorCode connect(const boost::asio::ip::tcp::endpoint &endpoint);
    /// Suspends the calling fiber until more input has arrived. `eof` means that the peer ended the
    /// connection in order: an error that another operation has reported before is returned in
    /// place of it.
    ErrorCode read();
    /// Makes sure that a read is pending, unless one has failed.
    void startRead();
    /// Suspends the calling fiber until the kernel has accepted all bytes. `written` is set to the
    /// number of bytes accepted, also on an error.
    ErrorCode write(std::string_view head, std::string_view body, std::size_t &written);

    std::string_view input() const { return std::string_view(m_input).substr(m_consumed); }
    void consume(std::size_t count);
    /// Size of the input buffer, including consumed bytes that it still contains.
    std::size_t heldBytes() const { return m_input.size(); }
    /// Why nothing more can be read; no error while the connection is readable.
    const ErrorCode &readError() const { return m_readError; }
    /// `observer` is called once, after the next completed read; an empty function removes it.
    void setReadObserver(std::function<void()> observer) { m_onRead = std::move(observer); }

    /// Checks whether the peer has closed the connection after the bytes already read; if so, sets
    /// `readError` to `eof`. Costs a system call.
    void detectPeerClose();
    /// Whether the connection is open, with neither a pending read nor unread input. Costs a system
    /// call.
    bool isIdle();
    /// Ends pending operations with an error; the connection remains usable.
    void cancel();
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Half-closes the connection: the peer reads an end of stream.
    void shutdownSend();
    /// Bytes that the kernel has ready to be read.
    std::size_t available();
    /// Releases the socket; the stream is closed afterwards.
    boost::asio::ip::tcp::socket takeSocket() { return std::move(m_socket); }

private:
    enum class Pending { Nothing, Bytes, End };

    Pending peek();
    void onReadable(const ErrorCode &error);
    ErrorCode readAvailable();
    ErrorCode waitWritable();
    void keepFailure(const ErrorCode &error);
    void dropConsumed();

    boost::asio::ip::tcp::socket m_socket;
    FiberWaiter m_reader;
    FiberWaiter m_writer;
    std::string m_input;
    std::size_t m_consumed = 0;
    ErrorCode m_readError;
    ErrorCode m_lastReadError;
    ErrorCode m_writeError;
    /// The first error of the connection. A socket reports an error once: after a write has
    /// returned it, a read sees the end of the stream.
    ErrorCode m_failure;
    bool m_isReading = false;
    std::function<void()> m_onRead;
};
using TcpStreamPtr = boost::intrusive_ptr<TcpStream>;

/// `InvalidArgument` if the address is not an IP address.
RetVal<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint);
Endpoint fromTcpEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);
/// Opens `acceptor` and listens. Returns the endpoint with the actual port; `Unavailable` if that
/// fails.
RetVal<Endpoint> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint);

} // namespace ivyspar
