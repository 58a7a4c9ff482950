#pragma once

#include <cstddef>
#include <string>

#include "state/endpoint.h"
#include "state/result.h"

namespace ivyspar {

/// Receives datagrams, as plain callbacks on the loop's thread; must not suspend.
class IDatagramHandler
{
public:
    virtual ~IDatagramHandler() = default;

    virtual void onDatagram(std::string payload) = 0;
};

/// Short messages between daemons over UDP: no link is opened for them, and each may be lost,
/// doubled or overtaken by another, without notice.
class IDatagramSocket
{
public:
    /// Payloads up to this size cross every network whole.
    static constexpr std::size_t MAX_PAYLOAD_BYTES = 1200;

    virtual ~IDatagramSocket() = default;

    virtual void setHandler(IDatagramHandler *handler) = 0;
    virtual Ret listen(const Endpoint &endpoint) = 0;
    /// Does not suspend. `InvalidArgument` for a payload over `MAX_PAYLOAD_BYTES`; an error is
    /// proof that nothing was sent.
    virtual Ret send(const Endpoint &to, const std::string &payload) = 0;
};

} // namespace ivyspar
