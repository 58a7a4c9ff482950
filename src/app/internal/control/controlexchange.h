#pragma once

#include <functional>
#include <string>
#include <vector>

#include "app/icontrolexchange.h"
#include "app/internal/control/membershipdriver.h"

namespace ivyspar {

/// Sends a control payload to a daemon at an endpoint.
using ControlSend = std::function<void(DaemonId, Endpoint, std::string)>;

/// The links of the traffic thread, to the daemons that membership takes for alive.
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
