#pragma once

#include <string>
#include <vector>

#include "state/ids.h"

namespace ivyspar {

struct ControlPeer
{
    DaemonId id;
    DomainName domain;
};

/// Control messages between the control threads of daemons. Used on the control thread.
class IControlExchange
{
public:
    virtual ~IControlExchange() = default;

    /// The other daemons that are considered alive.
    virtual std::vector<ControlPeer> peers() const = 0;
    /// Sends without waiting. The payload may be lost without notice.
    virtual void send(const DaemonId &to, std::string payload) = 0;
};

} // namespace ivyspar
