#include "coordination/membership/internal/peerselector.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

namespace {

/// Messages to each remote failure domain per round over the local members.
constexpr double MESSAGES_PER_REMOTE_DOMAIN = 1;

} // namespace

PeerSelector::PeerSelector(const MemberTable &table, DaemonId self, DomainName domain)
    : m_table(table)
    , m_self(std::move(self))
    , m_domain(std::move(domain))
{
}

void PeerSelector::refresh()
{
    if (!std::exchange(m_isStale, false)) {
        return;
    }
    m_rings.clear();
    for (const auto &[id, entry] : m_table.entries()) {
        if (id != m_self && isUp(entry.health)) {
            m_rings[entry.member.domain].push_back(id);
        }
    }
    // Salted shuffle: the iteration order of the table is the same in all daemons that learned of
    // the members in the same order.
    for (auto &[domain, ring] : m_rings) {
        std::sort(ring.begin(), ring.end());
        std::uint64_t state = m_salt;
        for (std::size_t i = ring.size(); i > 1; --i) {
            constexpr std::uint64_t FACTOR = 6364136223846793005ULL;
            constexpr std::uint64_t INCREMENT = 1442695040888963407ULL;
            state = state * FACTOR + INCREMENT;
            std::swap(ring[i - 1], ring[(state >> 33U) % i]);
        }
    }
}

void PeerSelector::join(const DaemonId &id)
{
    if (!isLocal(id)) {
        return;
    }
    const std::size_t at = std::min(m_pingPosition, m_pingRing.size());
    const std::size_t rest = m_pingRing.size() - at;
    const std::size_t place = (std::hash<DaemonId>()(id) ^ m_salt) % (rest + 1);
    m_pingRing.insert(m_pingRing.begin() + static_cast<std::ptrdiff_t>(at + place), id);
}

const MemberEntry *PeerSelector::next()
{
    refresh();
    const MemberEntry *remote = isRemoteDue(m_remoteDue) ? nextRemote() : nullptr;
    if (remote != nullptr) {
        return remote;
    }
    const MemberEntry *local = nextIn(m_domain);
    return local != nullptr ? local : nextRemote();
}

std::vector<const MemberEntry *> PeerSelector::next(std::size_t count, const DaemonId &except)
{
    std::vector<const MemberEntry *> receivers;
    for (std::size_t tried = 0; tried < 2 * count && receivers.size() < count; ++tried) {
        const MemberEntry *entry = next();
        const bool isUsable = entry != nullptr && entry->member.id != except
            && std::find(receivers.begin(), receivers.end(), entry) == receivers.end();
        if (isUsable) {
            receivers.push_back(entry);
        }
    }
    return receivers;
}

const MemberEntry *PeerSelector::nextToPing(IRandom &random)
{
    refresh();
    const MemberEntry *remote = isRemoteDue(m_remotePingDue) ? nextRemote() : nullptr;
    return remote != nullptr ? remote : nextLocalToPing(random);
}

const MemberEntry *PeerSelector::nextLocalToPing(IRandom &random)
{
    for (std::size_t rounds = 0; rounds < 2;) {
        if (m_pingPosition >= m_pingRing.size()) {
            ++rounds;
            startPingRound(random);
            continue;
        }
        const MemberEntry *entry = m_table.find(m_pingRing[m_pingPosition++]);
        if (entry != nullptr && isUp(entry->health)) {
            return entry;
        }
    }
    return nullptr;
}

void PeerSelector::startPingRound(IRandom &random)
{
    for (auto &[domain, ring] : m_rings) {
        shuffle(ring, random);
    }
    m_pingPosition = 0;
    const auto local = m_rings.find(m_domain);
    m_pingRing = local == m_rings.end() ? Ring() : local->second;
}

bool PeerSelector::isLocal(const DaemonId &id) const
{
    const MemberEntry *entry = m_table.find(id);
    return entry != nullptr && isLocal(entry->member.domain);
}

std::size_t PeerSelector::localCount() const
{
    const auto local = m_rings.find(m_domain);
    return local == m_rings.end() ? 0 : local->second.size();
}

/// Share of the messages that go to remote failure domains. It falls with the size of the local
/// domain: each member has more local members to reach, and more members share the remote ones.
double PeerSelector::remoteShare() const
{
    const auto local = static_cast<double>(localCount());
    const std::size_t domains = m_rings.size() - m_rings.count(m_domain);
    const double remote = MESSAGES_PER_REMOTE_DOMAIN * static_cast<double>(domains);
    return remote == 0 ? 0 : remote / (local + remote);
}

bool PeerSelector::isRemoteDue(double &due) const
{
    due += remoteShare();
    if (due < 1) {
        return false;
    }
    due -= 1;
    return true;
}

/// Cycles through the remote failure domains.
const MemberEntry *PeerSelector::nextRemote()
{
    for (std::size_t tried = 0; tried <= m_rings.size(); ++tried) {
        auto ring = m_rings.upper_bound(m_lastDomain);
        if (ring == m_rings.end()) {
            ring = m_rings.begin();
        }
        if (ring == m_rings.end()) {
            return nullptr;
        }
        m_lastDomain = ring->first;
        if (isLocal(ring->first)) {
            continue;
        }
        if (const MemberEntry *entry = nextIn(ring->first)) {
            return entry;
        }
    }
    return nullptr;
}

/// Null if the next member of the ring is not up.
const MemberEntry *PeerSelector::nextIn(const DomainName &domain)
{
    const auto ring = m_rings.find(domain);
    if (ring == m_rings.end()) {
        return nullptr;
    }
    std::size_t &at = m_positions[domain];
    at = (at + 1) % ring->second.size();
    const MemberEntry *entry = m_table.find(ring->second[at]);
    return entry != nullptr && isUp(entry->health) ? entry : nullptr;
}

void PeerSelector::shuffle(Ring &ring, IRandom &random)
{
    for (std::size_t i = ring.size(); i > 1; --i) {
        std::swap(ring[i - 1], ring[random.below(i)]);
    }
}

} // namespace ivyspar
