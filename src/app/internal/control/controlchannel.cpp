#include "app/internal/control/controlchannel.h"

#include <utility>

namespace ivyspar {

namespace {

/// First byte of each datagram. A port may be reused by another program or by a daemon of another
/// version.
constexpr char DATAGRAM_VERSION = '\1';

} // namespace

ControlChannel::ControlChannel(DaemonId self, IDatagramSocket &socket, const IPeerCodec &codec,
                               Observers observers, SendByLink sendByLink, OnControl onControl)
    : m_self(std::move(self))
    , m_socket(socket)
    , m_codec(codec)
    , m_observers(observers)
    , m_sendByLink(std::move(sendByLink))
    , m_onControl(std::move(onControl))
{
    m_socket.setHandler(this);
}

ControlChannel::~ControlChannel()
{
    m_socket.setHandler(nullptr);
}

Ret ControlChannel::listen(const Endpoint &endpoint)
{
    return m_socket.listen(endpoint);
}

void ControlChannel::send(const DaemonId &to, const Endpoint &endpoint, std::string payload)
{
    if (!sendDatagram(endpoint, payload)) {
        m_observers.metrics.add(Counter::ControlByLink);
        m_sendByLink(to, endpoint, std::move(payload));
    }
}

/// Returns false if the payload has to go over a link.
bool ControlChannel::sendDatagram(const Endpoint &endpoint, const std::string &payload)
{
    if (m_usesLinksOnly || payload.size() >= IDatagramSocket::MAX_PAYLOAD_BYTES) {
        return false;
    }
    ControlMessage message;
    message.from = m_self;
    message.payload = payload;
    const std::string datagram = DATAGRAM_VERSION + m_codec.encode(PeerMessage(message));
    if (datagram.size() > IDatagramSocket::MAX_PAYLOAD_BYTES) {
        return false;
    }
    // A failed send counts as a lost datagram: a link would not get through either.
    (void)m_socket.send(endpoint, datagram);
    m_observers.metrics.add(Counter::DatagramsSent);
    m_observers.metrics.add(Counter::DatagramBytesSent, datagram.size());
    return true;
}

void ControlChannel::onDatagram(std::string payload)
{
    m_observers.metrics.add(Counter::DatagramsReceived);
    m_observers.metrics.add(Counter::DatagramBytesReceived, payload.size());
    const bool isSupportedVersion = !payload.empty() && payload.front() == DATAGRAM_VERSION;
    const auto message = isSupportedVersion
        ? m_codec.decode(payload.substr(1))
        : RetVal<PeerMessage>(makeError(ErrorCode::InvalidArgument, ""));
    const auto *control = message ? std::get_if<ControlMessage>(&*message) : nullptr;
    if (control == nullptr) {
        m_observers.metrics.add(Counter::DatagramsMalformed);
        return;
    }
    m_onControl(*control);
}

} // namespace ivyspar
