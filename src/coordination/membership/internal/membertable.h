#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/membership/membershipmessages.h"
#include "state/time.h"

namespace ivyspar {

/// What this observer holds of one daemon.
struct MemberEntry
{
    Member member;
    MemberHealth health = MemberHealth::Alive;
    /// Version within the incarnation; `member.counter` is the version at which the record changed.
    std::uint64_t counter = 0;
    /// When this observer saw the health change.
    TimePoint since;
    /// The suspicion came from a probe of this observer.
    bool isSuspectedByOwnProbe = false;
};

inline bool isUp(MemberHealth health)
{
    return health == MemberHealth::Alive || health == MemberHealth::Suspect;
}

/// The members by id, with a digest over the versions of those that are up.
class MemberTable
{
public:
    static constexpr std::size_t BUCKET_COUNT = 64;
    using Buckets = std::array<std::uint64_t, BUCKET_COUNT>;
    using Entries = std::unordered_map<DaemonId, MemberEntry>;

    const MemberEntry *find(const DaemonId &id) const;
    /// Inserts or replaces the entry of that id and keeps the digest in step.
    void put(MemberEntry entry);
    void erase(const DaemonId &id);

    const Entries &entries() const { return m_entries; }
    /// Ids of the members that are suspect, dead or inactive: few, while the timers look at them
    /// often.
    const std::set<DaemonId> &notAlive() const { return m_notAlive; }
    /// Number of members that are up.
    std::size_t upCount() const { return m_upCount; }
    std::uint64_t digest() const { return m_digest; }
    const Buckets &buckets() const { return m_buckets; }
    static std::size_t bucketOf(const DaemonId &id);

private:
    void toggle(const MemberEntry &entry);

    Entries m_entries;
    std::set<DaemonId> m_notAlive;
    Buckets m_buckets{};
    std::uint64_t m_digest = 0;
    std::size_t m_upCount = 0;
};

/// The update that tells another daemon of the entry, with or without the record.
MemberUpdate makeUpdate(const MemberEntry &entry, bool withRecord);

/// True when `update` is newer than `entry`.
bool isNewer(const MemberUpdate &update, const MemberEntry &entry);

/// About the bytes that the update takes in a message.
std::size_t estimateBytes(const MemberUpdate &update);

} // namespace ivyspar
