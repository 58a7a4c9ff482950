#include "coordination/membership/internal/membertable.h"

#include <tuple>
#include <utility>

#include <xxhash.h>

namespace ivyspar {

namespace {

std::uint64_t hashOf(const DaemonId &id, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(id.value().data(), id.value().size(), seed);
}

std::uint64_t versionHash(const MemberEntry &entry)
{
    constexpr std::uint64_t COUNTER_FACTOR = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t seed = entry.member.incarnation.value() + entry.counter * COUNTER_FACTOR;
    return hashOf(entry.member.id, seed);
}

} // namespace

const MemberEntry *MemberTable::find(const DaemonId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void MemberTable::put(MemberEntry entry)
{
    erase(entry.member.id);
    if (isUp(entry.health)) {
        toggle(entry);
        ++m_upCount;
    }
    DaemonId id = entry.member.id;
    if (entry.health != MemberHealth::Alive) {
        m_notAlive.insert(id);
    }
    m_entries.emplace(std::move(id), std::move(entry));
}

void MemberTable::erase(const DaemonId &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (isUp(found->second.health)) {
        toggle(found->second);
        --m_upCount;
    }
    m_notAlive.erase(id);
    m_entries.erase(found);
}

std::size_t MemberTable::bucketOf(const DaemonId &id)
{
    return hashOf(id, 0) % BUCKET_COUNT;
}

void MemberTable::toggle(const MemberEntry &entry)
{
    const std::uint64_t hash = versionHash(entry);
    m_digest ^= hash;
    m_buckets[bucketOf(entry.member.id)] ^= hash;
}

MemberUpdate makeUpdate(const MemberEntry &entry, bool withRecord)
{
    MemberUpdate update;
    update.id = entry.member.id;
    update.incarnation = entry.member.incarnation;
    update.counter = entry.counter;
    update.health = entry.health;
    update.recordCounter = entry.member.counter;
    if (withRecord) {
        update.record = entry.member;
    }
    return update;
}

bool isNewer(const MemberUpdate &update, const MemberEntry &entry)
{
    return std::tie(update.incarnation, update.counter, update.health)
        > std::tie(entry.member.incarnation, entry.counter, entry.health);
}

std::size_t estimateBytes(const MemberUpdate &update)
{
    constexpr std::size_t VERSION_BYTES = 18;
    constexpr std::size_t RECORD_BYTES = 8;
    constexpr std::size_t UPSTREAM_BYTES = 9;
    std::size_t bytes = VERSION_BYTES + update.id.value().size();
    if (!update.record) {
        return bytes;
    }
    bytes += RECORD_BYTES + update.record->domain.value().size()
        + update.record->peerEndpoint.address.size();
    for (const UpstreamInfo &upstream : update.record->upstreams) {
        bytes += UPSTREAM_BYTES + upstream.service.value().size();
    }
    return bytes;
}

} // namespace ivyspar
