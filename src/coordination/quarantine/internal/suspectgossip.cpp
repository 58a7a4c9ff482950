#include "coordination/quarantine/suspectgossip.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

SuspectGossip::SuspectGossip(ISuspectTable &table, IRandom &random,
                             const SuspectGossipOptions &options)
    : m_table(table)
    , m_random(random)
    , m_options(options)
{
}

/// A single new peer starts the comparison itself, since all others are new to it; this keeps
/// hundreds of daemons from contacting it at once.
void SuspectGossip::setPeers(TimePoint now, const std::vector<DaemonId> &peers)
{
    const std::set<DaemonId> known(m_peers.begin(), m_peers.end());
    const auto added = static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(),
                      [&known](const DaemonId &peer) { return known.count(peer) == 0; }));
    m_peers = peers;
    if (added > 0 && added * m_options.massJoinDivisor >= peers.size()) {
        m_syncUntil = now + m_options.syncPeriod;
    }
}

OutgoingSuspectMessages SuspectGossip::flush()
{
    const bool reachedAll = m_peers.size() <= m_options.initialFanout;
    OutgoingSuspectMessages sends;
    sendUpdates(m_localUpdates, m_options.initialFanout, sends);
    sendUpdates(m_relayedUpdates,
                reachedAll ? m_options.redundantRelayFanout : m_options.relayFanout, sends);
    m_localUpdates.clear();
    m_relayedUpdates.clear();
    return sends;
}

void SuspectGossip::sendUpdates(const std::set<Fingerprint> &fingerprints, std::size_t peers,
                                OutgoingSuspectMessages &sends)
{
    std::vector<SuspectUpdate> messages;
    for (const Fingerprint &fingerprint : fingerprints) {
        auto record = m_table.find(fingerprint);
        if (!record) {
            continue;
        }
        if (messages.empty() || messages.back().records.size() >= m_options.maxRecordsPerUpdate) {
            messages.emplace_back();
        }
        messages.back().records.push_back(std::move(*record));
    }
    if (messages.empty()) {
        return;
    }
    for (const DaemonId &peer : pickPeers(peers)) {
        for (const SuspectUpdate &message : messages) {
            sends.push_back({ peer, message });
        }
    }
}

std::vector<DaemonId> SuspectGossip::pickPeers(std::size_t count)
{
    std::vector<DaemonId> picked = m_peers;
    count = std::min(count, picked.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(picked[i], picked[i + m_random.below(picked.size() - i)]);
    }
    picked.resize(count);
    return picked;
}

OutgoingSuspectMessages SuspectGossip::compare()
{
    OutgoingSuspectMessages sends;
    for (const DaemonId &peer : pickPeers(1)) {
        sends.push_back({ peer, SuspectDigest{ m_table.digest() } });
    }
    return sends;
}

OutgoingSuspectMessages SuspectGossip::receive(TimePoint now, const DaemonId &from,
                                               const SuspectMessage &message,
                                               std::vector<Fingerprint> &changed)
{
    if (const auto *digest = std::get_if<SuspectDigest>(&message)) {
        const bool isSame = digest->digest == m_table.digest();
        return isSame ? OutgoingSuspectMessages()
                      : OutgoingSuspectMessages{ { from, makeSnapshot(true) } };
    }
    if (const auto *update = std::get_if<SuspectUpdate>(&message)) {
        mergeRecords(now, update->records, changed);
        return {};
    }
    const auto &snapshot = std::get<SuspectSnapshot>(message);
    mergeRecords(now, snapshot.records, changed);
    const bool differs = snapshot.digest != m_table.digest();
    return snapshot.isReplyRequested && differs
        ? OutgoingSuspectMessages{ { from, makeSnapshot(false) } }
        : OutgoingSuspectMessages();
}

void SuspectGossip::mergeRecords(TimePoint now, const std::vector<SuspectRecord> &records,
                                 std::vector<Fingerprint> &changed)
{
    for (const SuspectRecord &record : records) {
        if (m_table.merge(now, record)) {
            m_relayedUpdates.insert(record.fingerprint);
            changed.push_back(record.fingerprint);
        }
    }
}

SuspectSnapshot SuspectGossip::makeSnapshot(bool isReplyRequested) const
{
    return SuspectSnapshot{ m_table.digest(), isReplyRequested, m_table.records() };
}

} // namespace ivyspar
