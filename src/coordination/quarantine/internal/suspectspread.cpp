#include "coordination/quarantine/suspectspread.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

SuspectSpread::SuspectSpread(ISuspectTable &table, IRandom &random,
                             const SuspectSpreadOptions &options)
    : m_table(table)
    , m_random(random)
    , m_options(options)
{
}

/// A single newcomer asks for itself, as all others are new to it: when one joins hundreds, they do
/// not all write to it.
void SuspectSpread::setPeers(TimePoint now, const std::vector<DaemonId> &peers)
{
    const std::set<DaemonId> known(m_peers.begin(), m_peers.end());
    const auto added = static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(),
                      [&known](const DaemonId &peer) { return known.count(peer) == 0; }));
    m_peers = peers;
    if (added > 0 && added * m_options.newPeersShare >= peers.size()) {
        m_askUntil = now + m_options.askTime;
    }
}

SuspectSends SuspectSpread::flush()
{
    const bool reachesAll = m_peers.size() <= m_options.firstPeers;
    SuspectSends sends;
    sendNews(m_own, m_options.firstPeers, sends);
    sendNews(m_heard, reachesAll ? m_options.sparePeers : m_options.nextPeers, sends);
    m_own.clear();
    m_heard.clear();
    return sends;
}

void SuspectSpread::sendNews(const std::set<Fingerprint> &fingerprints, std::size_t peers,
                             SuspectSends &sends)
{
    std::vector<SuspectNews> messages;
    for (const Fingerprint &fingerprint : fingerprints) {
        auto record = m_table.find(fingerprint);
        if (!record) {
            continue;
        }
        if (messages.empty() || messages.back().records.size() >= m_options.recordsOfNews) {
            messages.emplace_back();
        }
        messages.back().records.push_back(std::move(*record));
    }
    if (messages.empty()) {
        return;
    }
    for (const DaemonId &peer : pickPeers(peers)) {
        for (const SuspectNews &message : messages) {
            sends.push_back({ peer, message });
        }
    }
}

std::vector<DaemonId> SuspectSpread::pickPeers(std::size_t count)
{
    std::vector<DaemonId> picked = m_peers;
    count = std::min(count, picked.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(picked[i], picked[i + m_random.below(picked.size() - i)]);
    }
    picked.resize(count);
    return picked;
}

SuspectSends SuspectSpread::compare()
{
    SuspectSends sends;
    for (const DaemonId &peer : pickPeers(1)) {
        sends.push_back({ peer, SuspectDigest{ m_table.digest() } });
    }
    return sends;
}

SuspectSends SuspectSpread::receive(TimePoint now, const DaemonId &from,
                                    const SuspectMessage &message,
                                    std::vector<Fingerprint> &changed)
{
    if (const auto *digest = std::get_if<SuspectDigest>(&message)) {
        const bool isSame = digest->digest == m_table.digest();
        return isSame ? SuspectSends() : SuspectSends{ { from, makeState(true) } };
    }
    if (const auto *news = std::get_if<SuspectNews>(&message)) {
        learn(now, news->records, changed);
        return {};
    }
    const auto &state = std::get<SuspectState>(message);
    learn(now, state.records, changed);
    const bool knowsMore = state.digest != m_table.digest();
    return state.isAnswerWanted && knowsMore ? SuspectSends{ { from, makeState(false) } }
                                             : SuspectSends();
}

void SuspectSpread::learn(TimePoint now, const std::vector<SuspectRecord> &records,
                          std::vector<Fingerprint> &changed)
{
    for (const SuspectRecord &record : records) {
        if (m_table.merge(now, record)) {
            m_heard.insert(record.fingerprint);
            changed.push_back(record.fingerprint);
        }
    }
}

SuspectState SuspectSpread::makeState(bool isAnswerWanted) const
{
    return SuspectState{ m_table.digest(), isAnswerWanted, m_table.records() };
}

} // namespace ivyspar
