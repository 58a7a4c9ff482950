#pragma once

#include <cstddef>
#include <string>

#include "state/endpoint.h"
#include "state/ids.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

struct PeerLimits
{
    std::size_t frameBytes = 2 * 1024 * 1024;
    std::size_t links = 2000;
    /// Bytes that may be queued for sending on one link before `send` fails with `Throttled`; small
    /// frames may exceed it.
    std::size_t sendBufferBytes = 8 * 1024 * 1024;
    Duration connectTimeout = std::chrono::seconds(1);
    /// A link without traffic is probed with a ping after this time and closed after twice this
    /// time.
    Duration heartbeatInterval = std::chrono::seconds(2);
    /// A link opened by this side is closed after this time without a frame.
    Duration idleTimeout = std::chrono::seconds(120);
};

/// Receives the events of links. Called as plain callbacks on the loop's thread; must not suspend.
class IPeerHandler
{
public:
    virtual ~IPeerHandler() = default;

    /// A complete binary message.
    virtual void onFrame(LinkId link, std::string frame) = 0;
    /// The link is closed; no more frames arrive on it and its id is not reused.
    virtual void onLinkDown(LinkId link) = 0;
};

/// Message links between daemons (WebSocket, binary messages). Frames of one link keep their order.
class IPeerNetwork
{
public:
    virtual ~IPeerNetwork() = default;

    virtual void setHandler(IPeerHandler *handler) = 0;
    /// Returns the endpoint that it listens on. `Conflict` if it is already listening or was shut
    /// down, `InvalidArgument` for a non-IP address, `Unavailable` if it cannot be bound.
    virtual RetVal<Endpoint> listen(const Endpoint &endpoint, const PeerLimits &limits) = 0;
    /// Returns the open link that this side has to `endpoint`, or opens one. Suspends the calling
    /// fiber while connecting; concurrent calls share one attempt.
    virtual RetVal<LinkId> connect(const Endpoint &endpoint) = 0;
    /// Does not suspend. An error proves that nothing was sent; success does not prove delivery.
    virtual Ret send(LinkId link, std::string frame) = 0;
    /// Compresses all further frames sent on this link: trades CPU time for bandwidth.
    virtual void enableCompression(LinkId link) = 0;
    virtual void close(LinkId link) = 0;
    virtual std::size_t linkCount() const = 0;
    /// Stops accepting and closes all links after sending their queued frames. Suspends the calling
    /// fiber until all are closed or `timeout` has passed.
    virtual void shutdown(Duration timeout) = 0;
};

} // namespace ivyspar
