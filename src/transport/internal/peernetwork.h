#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "transport/ipeernetwork.h"

namespace ivyspar {

class EventLoop;
class PeerNetworkCore;

class PeerNetwork : public IPeerNetwork
{
public:
    explicit PeerNetwork(EventLoop &loop);
    ~PeerNetwork() override;
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    void setHandler(IPeerHandler *handler) override;
    RetVal<Endpoint> listen(const Endpoint &endpoint, const PeerLimits &limits) override;
    RetVal<LinkId> connect(const Endpoint &endpoint) override;
    Ret send(LinkId link, std::string frame) override;
    void enableCompression(LinkId link) override;
    void close(LinkId link) override;
    std::size_t linkCount() const override;
    void shutdown(Duration timeout) override;

private:
    boost::intrusive_ptr<PeerNetworkCore> m_core;
};

} // namespace ivyspar
