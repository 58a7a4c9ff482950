#include "transport/internal/datagramsocket.h"

#include <utility>

#include "transport/internal/tcpstream.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

using boost::asio::ip::udp;

/// Maximum number of datagrams read per loop iteration, so that a flood does not starve other work.
constexpr int READS_PER_TURN = 64;

RetVal<udp::endpoint> toUdpEndpoint(const Endpoint &endpoint)
{
    const auto target = toTcpEndpoint(endpoint);
    if (!target) {
        return tl::unexpected<Error>(target.error());
    }
    return udp::endpoint(target->address(), target->port());
}

} // namespace

DatagramSocket::DatagramSocket(EventLoop &loop)
    : m_loop(loop)
    , m_socket(loop.ioContext())
{
}

DatagramSocket::~DatagramSocket()
{
    *m_isAlive = false;
}

Ret DatagramSocket::listen(const Endpoint &endpoint)
{
    const auto local = toUdpEndpoint(endpoint);
    if (!local) {
        return tl::unexpected<Error>(local.error());
    }
    boost::system::error_code error;
    m_socket.open(local->protocol(), error);
    if (!error) {
        m_socket.bind(*local, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        return makeError(ErrorCode::Unavailable,
                         "cannot receive datagrams on " + endpoint.text() + ": " + error.message());
    }
    waitForInput();
    return {};
}

Ret DatagramSocket::send(const Endpoint &to, const std::string &payload)
{
    if (payload.size() > MAX_PAYLOAD_BYTES) {
        return makeError(ErrorCode::InvalidArgument, "payload exceeds the datagram size limit");
    }
    const auto target = toUdpEndpoint(to);
    if (!target) {
        return tl::unexpected<Error>(target.error());
    }
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(payload), *target, 0, error);
    if (error) {
        return makeError(ErrorCode::Unavailable, "failed to send datagram: " + error.message());
    }
    return {};
}

void DatagramSocket::waitForInput()
{
    m_socket.async_wait(udp::socket::wait_read, [this, isAlive = m_isAlive](const auto &error) {
        if (*isAlive && !error) {
            onReadable();
        }
    });
}

void DatagramSocket::onReadable()
{
    const auto isAlive = m_isAlive;
    for (int i = 0; i < READS_PER_TURN && receiveOne(); ++i) {
        if (!*isAlive) {
            return;
        }
    }
    waitForInput();
}

bool DatagramSocket::receiveOne()
{
    boost::system::error_code error;
    udp::endpoint sender;
    const std::size_t size = m_socket.receive_from(boost::asio::buffer(m_buffer), sender, 0, error);
    if (error) {
        return error == boost::asio::error::connection_refused;
    }
    if (size <= MAX_PAYLOAD_BYTES && m_handler != nullptr) {
        m_loop.runGuarded([&] { m_handler->onDatagram(std::string(m_buffer.data(), size)); });
    }
    return true;
}

std::unique_ptr<IDatagramSocket> makeDatagramSocket(IEventLoop &loop)
{
    return std::make_unique<DatagramSocket>(static_cast<EventLoop &>(loop));
}

} // namespace ivyspar
