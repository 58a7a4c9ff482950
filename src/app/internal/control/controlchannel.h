#pragma once

#include <functional>
#include <string>

#include "app/internal/logs/observers.h"
#include "protocol/ipeercodec.h"
#include "state/endpoint.h"
#include "state/ids.h"
#include "transport/idatagramsocket.h"

namespace ivyspar {

/// Carries control messages to other daemons: short ones as datagrams, the others over the links of
/// the traffic thread. In the course of a day a daemon speaks with every other one; with links for
/// that, all would stay linked to all, and opening and keeping the links would cost a multiple of
/// what is said on them. Whoever sends must bear the loss of any message. Control thread only.
class ControlChannel : public IDatagramHandler
{
public:
    using SendByLink = std::function<void(DaemonId, Endpoint, std::string)>;
    using OnControl = std::function<void(const ControlMessage &)>;

    /// `socket` and `codec` outlive the channel.
    ControlChannel(DaemonId self, IDatagramSocket &socket, const IPeerCodec &codec,
                   Observers observers, SendByLink sendByLink, OnControl onControl);
    ~ControlChannel() override;

    /// The endpoint at which this daemon takes links too.
    Ret listen(const Endpoint &endpoint);
    /// From now on all messages go over links. Datagrams are taken all the same.
    void useLinksOnly() { m_usesLinksOnly = true; }
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
