#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "app/icontrolexchange.h"
#include "transport/ieventloop.h"

namespace ivyspar::lab {

/// Control payloads between daemons of one process and loop, with a fixed delay. Everybody is taken
/// for alive by everybody; what a cut separates is lost.
class LocalControlNetwork
{
public:
    using Receiver = std::function<void(const DaemonId &, const std::string &)>;

    LocalControlNetwork(IEventLoop &loop, Duration delay);

    void join(const ControlPeer &peer, Receiver receiver);
    void leave(const DaemonId &id);
    /// Daemons of these failure domains reach only each other.
    void cutOff(const std::set<DomainName> &domains) { m_cutOff = domains; }

    std::vector<ControlPeer> peersOf(const DaemonId &self) const;
    void send(const DaemonId &from, const DaemonId &to, std::string payload);

    std::uint64_t messageCount() const { return m_messages; }
    std::uint64_t byteCount() const { return m_bytes; }

private:
    struct Node
    {
        ControlPeer peer;
        Receiver receiver;
    };

    bool isReachable(const DaemonId &from, const DaemonId &to) const;

    IEventLoop &m_loop;
    Duration m_delay;
    std::map<DaemonId, Node> m_nodes;
    std::set<DomainName> m_cutOff;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace ivyspar::lab
