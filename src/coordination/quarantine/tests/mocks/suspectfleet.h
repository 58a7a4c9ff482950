#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/quarantine/isuspecttable.h"
#include "coordination/quarantine/suspectarchive.h"
#include "coordination/quarantine/suspectgossip.h"
#include "state/internal/seededrandom.h"

namespace ivyspar {

/// Simulates the suspect tables of many daemons under a fake clock, with message delay, message
/// loss and network partitions. Each daemon has a server, which crashes when it runs a certain
/// request and restarts some time later. The daemons share a store that outlives them.
class SuspectFleet
{
public:
    static constexpr Duration STEP = std::chrono::milliseconds(1);
    static constexpr Duration DELAY = std::chrono::milliseconds(2);
    static constexpr Duration COMPARE_INTERVAL = std::chrono::milliseconds(300);
    static constexpr Duration RUN_TIME = std::chrono::milliseconds(60);
    static constexpr Duration DOWN_TIME = std::chrono::seconds(2);
    /// Time from a change at a daemon to its write to the store.
    static constexpr Duration WRITE_DELAY = std::chrono::milliseconds(60);
    static constexpr Duration STORE_INTERVAL = std::chrono::seconds(2);

    SuspectFleet(std::size_t daemons, std::uint64_t seed, double lossShare)
        : m_random(seed)
        , m_lossShare(lossShare)
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            m_nodes.push_back(makeNode(i));
        }
        updateMembers();
    }

    /// From now on, all messages between these daemons and the others are lost. Replaces the
    /// previous partition; none if empty.
    void partition(std::set<std::size_t> daemons)
    {
        m_partitioned = std::move(daemons);
        updateMembers();
    }

    /// Restarts the daemon without its state.
    void restart(std::size_t index)
    {
        m_nodes[index] = makeNode(index);
        updatePeers(index);
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += STEP;
            step();
        }
    }

    /// While the store is away, daemons neither read nor write it.
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    /// The store loses what was written since `saveStore`.
    void restoreStore() { m_store = m_savedStore; }
    void saveStore() { m_savedStore = m_store; }
    std::size_t storedRecords() const { return m_store.size(); }

    /// The crashing request arrives at the daemon, which sends it to a server unless its table
    /// forbids this. True if a server began to run it.
    bool sendCrashingRequest(std::size_t entry)
    {
        Node &from = *m_nodes[entry];
        const Suspicion here = from.table->assess(m_now, CRASHING_REQUEST).suspicion;
        if (here == Suspicion::Held || here == Suspicion::Quarantined) {
            return false;
        }
        const std::size_t target = here == Suspicion::Suspect ? firstUp(entry) : randomUp(entry);
        Node &gate = *m_nodes[target];
        const Suspicion there = gate.table->assess(m_now, CRASHING_REQUEST, KIND).suspicion;
        const bool isRefused = there == Suspicion::Held || there == Suspicion::Quarantined
            || (there == Suspicion::Suspect && !isIdle(gate));
        if (isRefused || m_now < gate.upAt) {
            return false;
        }
        gate.wasIsolated = there == Suspicion::Suspect || (gate.wasIsolated && !isIdle(gate));
        gate.crashAt = std::min(gate.crashAt, m_now + RUN_TIME);
        ++m_sends;
        return true;
    }

    bool isQuarantinedAt(std::size_t index) const
    {
        return m_nodes[index]->table->assess(m_now, CRASHING_REQUEST).suspicion
            == Suspicion::Quarantined;
    }
    std::size_t countQuarantining() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            count += isQuarantinedAt(i) ? 1 : 0;
        }
        return count;
    }
    std::size_t size() const { return m_nodes.size(); }
    std::size_t crashes() const { return m_crashes; }
    std::size_t sends() const { return m_sends; }
    std::size_t messages() const { return m_messages; }
    TimePoint now() const { return m_now; }

private:
    struct Node
    {
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<ISuspectTable> table;
        std::unique_ptr<SuspectGossip> gossip;
        std::unique_ptr<SuspectArchive> archive;
        TimePoint syncAt;
        /// A request at this daemon crashed a server.
        bool hasCrashed = false;
        TimePoint compareAt;
        TimePoint crashAt = TimePoint::max();
        /// The running request was a suspect when it was sent.
        bool wasIsolated = false;
        TimePoint upAt;
    };
    struct Message
    {
        std::size_t from;
        std::size_t to;
        SuspectMessage message;
    };

    inline static const Fingerprint CRASHING_REQUEST{ "c0ffee" };
    inline static const ServerKind KIND{ ServiceName("desk"), UpstreamVersion("v1") };

    static bool isIdle(const Node &node) { return node.crashAt == TimePoint::max(); }
    static DaemonId idOf(std::size_t index) { return DaemonId("daemon-" + std::to_string(index)); }
    static std::size_t indexOf(const DaemonId &id)
    {
        return std::stoul(id.value().substr(id.value().find('-') + 1));
    }

    std::unique_ptr<Node> makeNode(std::size_t index)
    {
        auto node = std::make_unique<Node>();
        node->random = std::make_unique<SeededRandom>(m_random.next() + index);
        node->table = makeSuspectTable();
        node->gossip = std::make_unique<SuspectGossip>(*node->table, *node->random);
        node->archive = std::make_unique<SuspectArchive>(*node->table);
        node->syncAt = m_now;
        node->compareAt = m_now + Duration(m_random.below(COMPARE_INTERVAL.count()));
        return node;
    }

    bool areConnected(std::size_t a, std::size_t b) const
    {
        return m_partitioned.count(a) == m_partitioned.count(b);
    }

    void updatePeers(std::size_t index)
    {
        std::vector<DaemonId> peers;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i != index && areConnected(i, index)) {
                peers.push_back(idOf(i));
            }
        }
        m_nodes[index]->gossip->setPeers(m_now, peers);
    }

    void updateMembers()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            updatePeers(i);
        }
    }

    std::size_t randomUp(std::size_t entry)
    {
        for (int tries = 0; tries < 1000; ++tries) {
            const std::size_t index = m_random.below(m_nodes.size());
            if (areConnected(entry, index) && m_now >= m_nodes[index]->upAt) {
                return index;
            }
        }
        return entry;
    }

    /// The server that all entries choose for a suspect.
    std::size_t firstUp(std::size_t entry) const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (areConnected(entry, i) && m_now >= m_nodes[i]->upAt) {
                return i;
            }
        }
        return entry;
    }

    void post(std::size_t from, const OutgoingSuspectMessages &sends)
    {
        for (const OutgoingSuspectMessage &send : sends) {
            const std::size_t to = indexOf(send.to);
            ++m_messages;
            if (areConnected(from, to) && m_random.unit() >= m_lossShare) {
                m_inFlight[m_now + DELAY].push_back(Message{ from, to, send.message });
            }
        }
    }

    void step()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const std::vector<Message> arrived = std::move(m_inFlight.begin()->second);
            m_inFlight.erase(m_inFlight.begin());
            for (const Message &message : arrived) {
                deliver(message);
            }
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            stepNode(i);
        }
    }

    void deliver(const Message &message)
    {
        std::vector<Fingerprint> changed;
        post(message.to,
             m_nodes[message.to]->gossip->receive(m_now, idOf(message.from), message.message,
                                                  changed));
        requestWrite(*m_nodes[message.to]);
    }

    /// A daemon writes at once what concerns crashes that it has seen itself.
    void requestWrite(Node &node)
    {
        if (node.hasCrashed && !node.archive->changes().isEmpty()) {
            node.syncAt = std::min(node.syncAt, m_now + WRITE_DELAY);
        }
    }

    void syncStore(Node &node)
    {
        node.syncAt = m_now + STORE_INTERVAL * static_cast<int>(m_nodes.size());
        if (m_isStoreDown) {
            return;
        }
        std::vector<SuspectRecord> stored;
        for (const auto &[fingerprint, record] : m_store) {
            stored.push_back(record);
        }
        node.archive->load(m_now, stored);
        const SuspectStoreChanges changes = node.archive->changes();
        for (const SuspectRecord &record : changes.written) {
            m_store[record.fingerprint] = record;
        }
        for (const Fingerprint &fingerprint : changes.removed) {
            m_store.erase(fingerprint);
        }
    }

    void stepNode(std::size_t index)
    {
        Node &node = *m_nodes[index];
        if (m_now >= node.crashAt) {
            node.crashAt = TimePoint::max();
            node.upAt = m_now + DOWN_TIME;
            const UpstreamRunName run("run-" + std::to_string(++m_crashes));
            node.table->addCrash(m_now, CRASHING_REQUEST,
                                 Crash{ run, KIND, m_now, node.wasIsolated, false });
            node.gossip->addLocalUpdate(CRASHING_REQUEST);
            node.hasCrashed = true;
            requestWrite(node);
        }
        if (m_now >= node.syncAt) {
            syncStore(node);
        }
        if (node.gossip->hasUpdates()) {
            post(index, node.gossip->flush());
        }
        if (m_now >= node.compareAt && node.gossip->needsComparison(m_now)) {
            node.compareAt = m_now + COMPARE_INTERVAL;
            post(index, node.gossip->compare());
        }
    }

    SeededRandom m_random;
    double m_lossShare;
    TimePoint m_now{ std::chrono::seconds(100) };
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::set<std::size_t> m_partitioned;
    std::map<TimePoint, std::vector<Message>> m_inFlight;
    std::map<Fingerprint, SuspectRecord> m_store;
    std::map<Fingerprint, SuspectRecord> m_savedStore;
    bool m_isStoreDown = false;
    std::size_t m_crashes = 0;
    std::size_t m_sends = 0;
    std::size_t m_messages = 0;
};

} // namespace ivyspar
