#include "standins/control/localcontrolnetwork.h"

#include <utility>

namespace ivyspar::lab {

LocalControlNetwork::LocalControlNetwork(IEventLoop &loop, Duration delay)
    : m_loop(loop)
    , m_delay(delay)
{
}

void LocalControlNetwork::join(const ControlPeer &peer, Receiver receiver)
{
    m_nodes[peer.id] = { peer, std::move(receiver) };
}

void LocalControlNetwork::leave(const DaemonId &id)
{
    m_nodes.erase(id);
}

std::vector<ControlPeer> LocalControlNetwork::peersOf(const DaemonId &self) const
{
    std::vector<ControlPeer> peers;
    peers.reserve(m_nodes.size());
    for (const auto &[id, node] : m_nodes) {
        if (id != self) {
            peers.push_back(node.peer);
        }
    }
    return peers;
}

void LocalControlNetwork::send(const DaemonId &from, const DaemonId &to, std::string payload)
{
    if (!isReachable(from, to)) {
        return;
    }
    ++m_messages;
    m_bytes += payload.size();
    m_loop.callLater(m_delay, [this, from, to, payload = std::move(payload)] {
        const auto found = m_nodes.find(to);
        if (found != m_nodes.end()) {
            found->second.receiver(from, payload);
        }
    });
}

bool LocalControlNetwork::isReachable(const DaemonId &from, const DaemonId &to) const
{
    const auto source = m_nodes.find(from);
    const auto target = m_nodes.find(to);
    if (source == m_nodes.end() || target == m_nodes.end()) {
        return false;
    }
    return m_cutOff.count(source->second.peer.domain) == m_cutOff.count(target->second.peer.domain);
}

} // namespace ivyspar::lab
