#pragma once

#include <cstddef>
#include <string>

#include "state/endpoint.h"
#include "state/result.h"

namespace ivyspar {

/// Receives datagrams. Called as plain callbacks on the loop's thread; must not suspend.
class IDatagramHandler
{
public:
    virtual ~IDatagramHandler() = default;

    virtual void onDatagram(std::string payload) = 0;
};

/// Short messages between daemons over UDP. Needs no link; datagrams may be lost, duplicated or
/// reordered without notice.
class IDatagramSocket
{
public:
    /// Largest payload in bytes; payloads up to this size are not fragmented on any network.
    static constexpr std::size_t MAX_PAYLOAD_BYTES = 1200;

    virtual ~IDatagramSocket() = default;

    virtual void setHandler(IDatagramHandler *handler) = 0;
    /// `InvalidArgument` for a non-IP address, `Unavailable` if it cannot be bound.
    virtual Ret listen(const Endpoint &endpoint) = 0;
    /// Does not suspend. `InvalidArgument` for a payload over `MAX_PAYLOAD_BYTES`; an error
    /// proves that nothing was sent.
    virtual Ret send(const Endpoint &to, const std::string &payload) = 0;
};

} // namespace ivyspar
