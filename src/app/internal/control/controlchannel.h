#pragma once

#include <functional>
#include <string>

#include "app/internal/logs/observers.h"
#include "protocol/ipeercodec.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "transport/idatagramsocket.h"

namespace ivyspar {

/// Sends control messages to other daemons: short ones as datagrams, long ones over the links of
/// the traffic thread. In the course of a day a daemon exchanges messages with every other one;
/// over links this would keep a full mesh open, whose upkeep costs a multiple of the messages
/// themselves. Delivery is best effort: senders must tolerate the loss of any message. Control
/// thread only.
class ControlChannel : public IDatagramHandler
{
public:
    using SendByLink = std::function<void(DaemonId, Endpoint, std::string)>;
    using OnControl = std::function<void(const ControlMessage &)>;

    /// `socket` and `codec` outlive the channel.
    ControlChannel(DaemonId self, IDatagramSocket &socket, const IPeerCodec &codec,
                   Observers observers, SendByLink sendByLink, OnControl onControl);
    ~ControlChannel() override;

    /// Receives datagrams at `endpoint`, where this daemon accepts links too.
    Ret listen(const Endpoint &endpoint);
    /// Sends all further messages over links. Datagrams are still received.
    void useLinksOnly() { m_usesLinksOnly = true; }
    /// `endpoint`: where daemon `to` receives datagrams and accepts links.
    void send(const DaemonId &to, const Endpoint &endpoint, std::string payload);
    void onDatagram(std::string payload) override;

private:
    bool sendDatagram(const Endpoint &endpoint, const std::string &payload);

    DaemonId m_self;
    IDatagramSocket &m_socket;
    const IPeerCodec &m_codec;
    Observers m_observers;
    SendByLink m_sendByLink;
    OnControl m_onControl;
    bool m_usesLinksOnly = false;
};

} // namespace ivyspar
