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
    /// Bytes that may wait to be sent on one link before `send` refuses.
    std::size_t sendBufferBytes = 8 * 1024 * 1024;
    Duration connectTimeout = std::chrono::seconds(1);
    /// A link without traffic is probed with a ping after this time and closed after twice this
    /// time.
    Duration heartbeatInterval = std::chrono::seconds(2);
    /// A link that this side opened and that carried no frame for this long is closed.
    Duration idleTimeout = std::chrono::seconds(120);
};

/// Receives what happens on links. Called as plain callbacks on the loop's thread; must not
/// suspend.
class IPeerHandler
{
public:
    virtual ~IPeerHandler() = default;

    /// A whole binary message.
    virtual void onFrame(LinkId link, std::string frame) = 0;
    /// The link is gone; nothing more arrives on it and its id is not used again.
    virtual void onLinkDown(LinkId link) = 0;
};

/// Message links between daemons (WebSocket, binary messages). Frames of one link keep their order.
class IPeerNetwork
{
public:
    virtual ~IPeerNetwork() = default;

    virtual void setHandler(IPeerHandler *handler) = 0;
    virtual RetVal<Endpoint> listen(const Endpoint &endpoint, const PeerLimits &limits) = 0;
    /// The open link to that endpoint that this side opened, or a new one. Suspends the calling
    /// fiber while connecting; concurrent callers share one attempt.
    virtual RetVal<LinkId> connect(const Endpoint &endpoint) = 0;
    /// Does not suspend. An error is proof that nothing was sent. Success is no proof of delivery.
    virtual Ret send(LinkId link, std::string frame) = 0;
    /// From now on the frames to this link are compressed: worth its time where bytes are dear.
    virtual void enableCompression(LinkId link) = 0;
    virtual void close(LinkId link) = 0;
    virtual std::size_t linkCount() const = 0;
    /// Accepts no more, closes all links after their queued frames were sent.
    virtual void shutdown(Duration timeout) = 0;
};

} // namespace ivyspar
