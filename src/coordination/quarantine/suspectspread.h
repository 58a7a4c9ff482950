#pragma once

#include <set>
#include <vector>

#include "coordination/quarantine/isuspecttable.h"
#include "coordination/quarantine/suspectmessages.h"
#include "state/irandom.h"

namespace ivyspar {

struct SuspectSpreadOptions
{
    /// Daemons that are told of news by the daemon where they arose. Below this many all are.
    std::size_t firstPeers = 24;
    /// Daemons to which news are passed on, where not all could be told at first …
    std::size_t nextPeers = 4;
    /// … and where they could: for what is lost on the way.
    std::size_t sparePeers = 1;
    /// After many daemons are new, as at the start or at the end of a cut, what others know is
    /// asked for in this time, also while nothing is known here.
    Duration askTime = std::chrono::seconds(3);
    /// Many: one of so many.
    std::size_t newPeersShare = 8;
    /// Records in one message: it fits into a datagram.
    std::size_t recordsOfNews = 8;
};

struct SuspectSend
{
    DaemonId to;
    SuspectMessage message;
};
using SuspectSends = std::vector<SuspectSend>;

/// Spreads what a daemon's table of suspects learns. News go to other daemons at once and are
/// passed on; digests that are compared all the while mend what was lost, and tell daemons that
/// were cut off or have just started. Plain object.
class SuspectSpread
{
public:
    /// Both outlive it.
    SuspectSpread(ISuspectTable &table, IRandom &random, const SuspectSpreadOptions &options = {});

    /// The other daemons that are taken for alive.
    void setPeers(TimePoint now, const std::vector<DaemonId> &peers);
    /// The table has learnt of it from this daemon's own servers.
    void noteOwn(const Fingerprint &fingerprint) { m_own.insert(fingerprint); }
    bool hasNews() const { return !m_own.empty() || !m_heard.empty(); }
    /// Sends the news.
    SuspectSends flush();
    /// Whether `compare` is to be called regularly.
    bool wantsToCompare(TimePoint now) const { return !m_table.isEmpty() || now < m_askUntil; }
    SuspectSends compare();
    /// `changed` gets the records of which something new was learnt.
    SuspectSends receive(TimePoint now, const DaemonId &from, const SuspectMessage &message,
                         std::vector<Fingerprint> &changed);

private:
    std::vector<DaemonId> pickPeers(std::size_t count);
    void sendNews(const std::set<Fingerprint> &fingerprints, std::size_t peers,
                  SuspectSends &sends);
    void learn(TimePoint now, const std::vector<SuspectRecord> &records,
               std::vector<Fingerprint> &changed);
    SuspectState makeState(bool isAnswerWanted) const;

    ISuspectTable &m_table;
    IRandom &m_random;
    SuspectSpreadOptions m_options;
    std::vector<DaemonId> m_peers;
    TimePoint m_askUntil;
    std::set<Fingerprint> m_own;
    std::set<Fingerprint> m_heard;
};

} // namespace ivyspar
