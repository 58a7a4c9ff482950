#pragma once

#include <functional>
#include <string>
#include <vector>

#include "app/icontrolexchange.h"
#include "app/internal/control/membershipdriver.h"

namespace ivyspar {

/// Sends a control payload to a daemon at an endpoint.
using ControlSend = std::function<void(DaemonId, Endpoint, std::string)>;

/// Exchanges control payloads with the available members.
class ControlExchange : public IControlExchange
{
public:
    ControlExchange(const MembershipDriver &membership, ControlSend send);

    std::vector<ControlPeer> peers() const override;
    void send(const DaemonId &to, std::string payload) override;

private:
    const MembershipDriver &m_membership;
    ControlSend m_send;
};

} // namespace ivyspar
