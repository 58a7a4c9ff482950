#pragma once

#include <set>
#include <vector>

#include "coordination/quarantine/isuspecttable.h"
#include "coordination/quarantine/suspectmessages.h"
#include "state/irandom.h"

namespace ivyspar {

struct SuspectGossipOptions
{
    /// Daemons that are told of news by the daemon where they arose. Below this many all are.
    std::size_t initialFanout = 24;
    /// Daemons to which news are passed on, where not all could be told at first …
    std::size_t relayFanout = 4;
    /// … and where they could: for what is lost on the way.
    std::size_t redundantRelayFanout = 1;
    /// After many daemons are new, as at the start or at the end of a cut, what others know is
    /// asked for in this time, also while nothing is known here.
    Duration syncPeriod = std::chrono::seconds(3);
    /// Many: one of so many.
    std::size_t massJoinDivisor = 8;
    /// Records in one message: it fits into a datagram.
    std::size_t maxRecordsPerUpdate = 8;
};

struct OutgoingSuspectMessage
{
    DaemonId to;
    SuspectMessage message;
};
using OutgoingSuspectMessages = std::vector<OutgoingSuspectMessage>;

/// Spreads what a daemon's table of suspects learns. News go to other daemons at once and are
/// passed on; digests that are compared all the while mend what was lost, and tell daemons that
/// were cut off or have just started. Plain object.
class SuspectGossip
{
public:
    /// Both outlive it.
    SuspectGossip(ISuspectTable &table, IRandom &random, const SuspectGossipOptions &options = {});

    /// The other daemons that are taken for alive.
    void setPeers(TimePoint now, const std::vector<DaemonId> &peers);
    /// The table has learnt of it from this daemon's own servers.
    void addLocalUpdate(const Fingerprint &fingerprint) { m_localUpdates.insert(fingerprint); }
    bool hasUpdates() const { return !m_localUpdates.empty() || !m_relayedUpdates.empty(); }
    /// Sends the news.
    OutgoingSuspectMessages flush();
    /// Whether `compare` is to be called regularly.
    bool needsComparison(TimePoint now) const { return !m_table.isEmpty() || now < m_syncUntil; }
    OutgoingSuspectMessages compare();
    /// `changed` gets the records of which something new was learnt.
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
