#pragma once

#include <set>
#include <vector>

#include "coordination/quarantine/isuspecttable.h"
#include "coordination/quarantine/suspectmessages.h"
#include "state/irandom.h"

namespace ivyspar {

struct SuspectGossipOptions
{
    /// Number of peers to which a daemon sends its own updates; all peers if there are fewer.
    std::size_t initialFanout = 24;
    /// Number of peers to which a received update is relayed, if the deployment is larger …
    std::size_t relayFanout = 4;
    /// … and if it is not, to compensate for message loss.
    std::size_t redundantRelayFanout = 1;
    /// After many peers have joined, as after a start or a partition, digests are compared for this
    /// time even while the table is empty.
    Duration syncPeriod = std::chrono::seconds(3);
    /// Many: at least one in this many peers.
    std::size_t massJoinDivisor = 8;
    /// Records per message, so that it fits into a datagram.
    std::size_t maxRecordsPerUpdate = 8;
};

struct OutgoingSuspectMessage
{
    DaemonId to;
    SuspectMessage message;
};
using OutgoingSuspectMessages = std::vector<OutgoingSuspectMessage>;

/// Replicates a daemon's table of suspects by gossip. Updates are pushed to peers at once and
/// relayed; periodic comparison of digests repairs losses and brings daemons up to date that were
/// partitioned or have just started. Plain object.
class SuspectGossip
{
public:
    /// `table` and `random` outlive the object.
    SuspectGossip(ISuspectTable &table, IRandom &random, const SuspectGossipOptions &options = {});

    /// The other daemons that are considered alive.
    void setPeers(TimePoint now, const std::vector<DaemonId> &peers);
    /// The record was changed by an event at this daemon and is due to be sent.
    void addLocalUpdate(const Fingerprint &fingerprint) { m_localUpdates.insert(fingerprint); }
    bool hasUpdates() const { return !m_localUpdates.empty() || !m_relayedUpdates.empty(); }
    /// The pending updates, to be sent now.
    OutgoingSuspectMessages flush();
    /// Whether `compare` should be called periodically.
    bool needsComparison(TimePoint now) const { return !m_table.isEmpty() || now < m_syncUntil; }
    /// The digest, to be sent to a random peer.
    OutgoingSuspectMessages compare();
    /// Returns the replies. Appends to `changed` the fingerprints of the records that have changed.
    OutgoingSuspectMessages receive(TimePoint now, const DaemonId &from,
                                    const SuspectMessage &message,
                                    std::vector<Fingerprint> &changed);

private:
    std::vector<DaemonId> pickPeers(std::size_t count);
    void sendUpdates(const std::set<Fingerprint> &fingerprints, std::size_t peers,
                     OutgoingSuspectMessages &sends);
    void mergeRecords(TimePoint now, const std::vector<SuspectRecord> &records,
                      std::vector<Fingerprint> &changed);
    SuspectSnapshot makeSnapshot(bool isReplyRequested) const;

    ISuspectTable &m_table;
    IRandom &m_random;
    SuspectGossipOptions m_options;
    std::vector<DaemonId> m_peers;
    TimePoint m_syncUntil;
    std::set<Fingerprint> m_localUpdates;
    std::set<Fingerprint> m_relayedUpdates;
};

} // namespace ivyspar
