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

/// How the parts of the control thread reach those of other daemons. Used on the control thread.
class IControlExchange
{
public:
    virtual ~IControlExchange() = default;

    /// The daemons that are taken for alive, without this one.
    virtual std::vector<ControlPeer> peers() const = 0;
    /// Sends without waiting. The payload may be lost, without notice.
    virtual void send(const DaemonId &to, std::string payload) = 0;
};

} // namespace ivyspar
