#include "transport/internal/peernetwork.h"

#include <utility>

#include "transport/internal/peernetworkcore.h"
#include "transport/transportfactory.h"

namespace ivyspar {

PeerNetwork::PeerNetwork(EventLoop &loop)
    : m_core(new PeerNetworkCore(loop))
{
}

PeerNetwork::~PeerNetwork()
{
    m_core->abort();
}

void PeerNetwork::setHandler(IPeerHandler *handler)
{
    m_core->setHandler(handler);
}

RetVal<Endpoint> PeerNetwork::listen(const Endpoint &endpoint, const PeerLimits &limits)
{
    return m_core->listen(endpoint, limits);
}

RetVal<LinkId> PeerNetwork::connect(const Endpoint &endpoint)
{
    return m_core->connect(endpoint);
}

Ret PeerNetwork::send(LinkId link, std::string frame)
{
    return m_core->send(link, frame);
}

void PeerNetwork::enableCompression(LinkId link)
{
    m_core->enableCompression(link);
}

void PeerNetwork::close(LinkId link)
{
    m_core->close(link);
}

std::size_t PeerNetwork::linkCount() const
{
    return m_core->linkCount();
}

void PeerNetwork::shutdown(Duration timeout)
{
    m_core->shutdown(timeout);
}

std::unique_ptr<IPeerNetwork> makePeerNetwork(IEventLoop &loop)
{
    return std::make_unique<PeerNetwork>(static_cast<EventLoop &>(loop));
}

} // namespace ivyspar
