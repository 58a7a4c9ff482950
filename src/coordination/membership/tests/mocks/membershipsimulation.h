#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/membership/membershipfactory.h"
#include "state/internal/seededrandom.h"
#include "state/tests/mocks/simulatedtime.h"

namespace ivyspar {

/// Simulates daemons with membership objects on a fake clock and a network with delay, packet loss,
/// suspended processes and partitions between failure domains.
class MembershipSimulation
{
public:
    struct Node
    {
        Member record;
        std::unique_ptr<IMembership> membership;
        bool isRunning = true;
        TimePoint frozenUntil;
        std::size_t changes = 0;
        /// Messages in the socket buffers of a suspended process.
        std::vector<std::pair<DaemonId, MembershipMessage>> unread;
    };

    MembershipSimulation(std::uint64_t seed, const MembershipOptions &options = {})
        : m_options(options)
        , m_random(seed)
    {
    }

    static constexpr std::size_t NONE = static_cast<std::size_t>(-1);

    /// Starts a daemon with the endpoint of daemon `seed` as its seed. Returns its index.
    std::size_t start(const std::string &domain, std::size_t seed = NONE)
    {
        const std::size_t index = m_nodes.size();
        Member record;
        record.id = DaemonId("daemon-" + std::to_string(index));
        record.domain = DomainName(domain);
        record.upstreams.push_back(
            { ServiceName("service-" + std::to_string(index % 84)), 80, 600, false });
        m_nodes.emplace_back();
        m_nodes.back().record = record;
        boot(index, seed);
        scheduleTick(index, Duration(m_random.below(m_options.gossipInterval.count())));
        return index;
    }

    /// Starts a new run of the daemon on a new port.
    void restart(std::size_t index, std::size_t seed) { boot(index, seed); }

    /// Index of the daemon that uses or used this endpoint, or `NONE`.
    std::size_t ownerOf(const Endpoint &endpoint) const
    {
        const auto owner = m_owners.find(endpoint);
        return owner == m_owners.end() ? NONE : owner->second;
    }
    void crash(std::size_t index) { m_nodes[index].isRunning = false; }
    void freeze(std::size_t index, Duration time)
    {
        m_nodes[index].frozenUntil = m_time.now() + time;
    }
    void leave(std::size_t index)
    {
        deliver(index, m_nodes[index].membership->leave(m_time.now()));
        crash(index);
    }
    void setLoss(double share) { m_loss = share; }
    /// Partitions one failure domain from all others.
    void partition(const std::string &domain) { m_partitioned.insert(DomainName(domain)); }
    void heal() { m_partitioned.clear(); }

    void run(Duration time) { m_time.run(time); }

    /// Runs until `condition` holds. Returns the simulated time that it took; `limit` or more if it
    /// did not hold at any check before `limit`.
    template <typename Condition> Duration runUntil(Condition condition, Duration limit)
    {
        const Duration step = m_options.gossipInterval;
        Duration taken{ 0 };
        while (taken < limit && !condition()) {
            run(step);
            taken += step;
        }
        return taken;
    }

    /// Whether every running daemon of `domain` (empty: of all) has exactly `count` available
    /// members.
    bool agreeOn(std::size_t count, const std::string &domain = {}) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
            const bool isSelected =
                node.isRunning && (domain.empty() || node.record.domain == DomainName(domain));
            return !isSelected || node.membership->availableMembers().size() == count;
        });
    }

    bool sees(std::size_t observer, std::size_t index) const
    {
        const auto members = m_nodes[observer].membership->availableMembers();
        return std::any_of(members.begin(), members.end(), [&](const Member &member) {
            return member.id == m_nodes[index].record.id
                && member.incarnation == m_nodes[index].record.incarnation
                && member.peerEndpoint == m_nodes[index].record.peerEndpoint;
        });
    }

    Node &node(std::size_t index) { return m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    TimePoint now() const { return m_time.now(); }
    SeededRandom &random() { return m_random; }
    /// Carries out the actions that a call of daemon `index` returned.
    void deliver(std::size_t index, const MembershipActions &actions)
    {
        m_nodes[index].changes += actions.changed ? 1 : 0;
        for (const MembershipDatagram &datagram : actions.send) {
            if (onSend) {
                onSend(index, datagram.message);
            }
            if (onDatagram) {
                onDatagram(index, datagram);
            }
            carry(index, datagram);
        }
    }

    std::function<void(std::size_t sender, const MembershipMessage &message)> onSend;
    /// As `onSend`, with the receiver.
    std::function<void(std::size_t sender, const MembershipDatagram &datagram)> onDatagram;
    /// Called before and after each tick, for measurements.
    std::function<void(bool isBegin)> onTick;

private:
    void boot(std::size_t index, std::size_t seed)
    {
        Node &node = m_nodes[index];
        ++m_boots;
        node.record.incarnation = Incarnation(m_boots);
        node.record.peerEndpoint = { "10.0.0.1", static_cast<std::uint16_t>(m_boots) };
        node.isRunning = true;
        node.unread.clear();
        m_owners[node.record.peerEndpoint] = index;
        node.membership = makeMembership(m_time.now(), node.record, m_options);
        if (seed != NONE) {
            const Endpoint endpoint = m_nodes[seed].record.peerEndpoint;
            deliver(
                index,
                node.membership->addSeed(m_time.now(), { endpoint, m_nodes[seed].record.domain }));
        }
    }

    void scheduleTick(std::size_t index, Duration delay)
    {
        m_time.schedule(delay, [this, index] {
            scheduleTick(index, m_options.gossipInterval);
            tick(index);
        });
    }

    void tick(std::size_t index)
    {
        Node &node = m_nodes[index];
        if (!node.isRunning || m_time.now() < node.frozenUntil) {
            return;
        }
        if (onTick) {
            onTick(true);
        }
        const MembershipActions actions = node.membership->tick(m_time.now(), m_random);
        if (onTick) {
            onTick(false);
        }
        deliver(index, actions);
        // A resumed process runs its timers before it reads from its sockets.
        for (const auto &[from, message] : std::exchange(node.unread, {})) {
            deliver(index, node.membership->receive(m_time.now(), from, message));
        }
    }

    void carry(std::size_t sender, const MembershipDatagram &datagram)
    {
        const auto owner = m_owners.find(datagram.endpoint);
        if (owner == m_owners.end() || m_random.unit() < m_loss) {
            return;
        }
        constexpr std::uint64_t MAX_DELAY_US = 2000;
        m_time.schedule(Duration(500 + m_random.below(MAX_DELAY_US)),
                        [this, sender, receiver = owner->second, datagram] {
                            arrive(sender, receiver, datagram);
                        });
    }

    void arrive(std::size_t sender, std::size_t receiver, const MembershipDatagram &datagram)
    {
        Node &node = m_nodes[receiver];
        const DomainName &from = m_nodes[sender].record.domain;
        const bool isPartitioned = from != node.record.domain
            && (m_partitioned.count(from) != 0 || m_partitioned.count(node.record.domain) != 0);
        if (isPartitioned || !node.isRunning || node.record.peerEndpoint != datagram.endpoint) {
            return;
        }
        if (m_time.now() < node.frozenUntil) {
            node.unread.emplace_back(m_nodes[sender].record.id, datagram.message);
            return;
        }
        deliver(
            receiver,
            node.membership->receive(m_time.now(), m_nodes[sender].record.id, datagram.message));
    }

    MembershipOptions m_options;
    SeededRandom m_random;
    std::vector<Node> m_nodes;
    std::map<Endpoint, std::size_t> m_owners;
    SimulatedTime m_time{ TimePoint(std::chrono::hours(1)) };
    std::uint64_t m_boots = 0;
    double m_loss = 0;
    std::set<DomainName> m_partitioned;
};

} // namespace ivyspar
