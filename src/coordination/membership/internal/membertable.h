#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/membership/membershipmessages.h"
#include "state/time.h"

namespace ivyspar {

/// State of one member as seen by this daemon.
struct MemberEntry
{
    Member member;
    MemberHealth health = MemberHealth::Alive;
    /// Version within the incarnation; `member.counter` is the version of the last record change.
    std::uint64_t counter = 0;
    /// When this daemon recorded the current health; set anew for suspects after a freeze.
    TimePoint since;
    /// The suspicion was raised by a failed probe of this daemon.
    bool isSuspectedByOwnProbe = false;
};

inline bool isUp(MemberHealth health)
{
    return health == MemberHealth::Alive || health == MemberHealth::Suspect;
}

/// Members by id, with a digest over the versions of the members that are up.
class MemberTable
{
public:
    static constexpr std::size_t BUCKET_COUNT = 64;
    using Buckets = std::array<std::uint64_t, BUCKET_COUNT>;
    using Entries = std::unordered_map<DaemonId, MemberEntry>;

    const MemberEntry *find(const DaemonId &id) const;
    /// Inserts or replaces the entry and updates the digest.
    void put(MemberEntry entry);
    void erase(const DaemonId &id);

    const Entries &entries() const { return m_entries; }
    /// Ids of the members that are suspect, dead or have left. Indexed because the timers iterate
    /// over them often, and they are few.
    const std::set<DaemonId> &notAlive() const { return m_notAlive; }
    /// Number of members that are alive or suspect.
    std::size_t upCount() const { return m_upCount; }
    std::uint64_t digest() const { return m_digest; }
    const Buckets &buckets() const { return m_buckets; }
    static std::size_t bucketOf(const DaemonId &id);

private:
    /// Adds the entry to the digests, or removes it from them.
    void toggle(const MemberEntry &entry);

    Entries m_entries;
    std::set<DaemonId> m_notAlive;
    Buckets m_buckets{};
    std::uint64_t m_digest = 0;
    std::size_t m_upCount = 0;
};

/// Update that announces the entry, with or without the record.
MemberUpdate makeUpdate(const MemberEntry &entry, bool withRecord);

/// Compares by incarnation, counter and health, in this order.
bool isNewer(const MemberUpdate &update, const MemberEntry &entry);

/// Approximate encoded size of the update in bytes.
std::size_t estimateBytes(const MemberUpdate &update);

} // namespace ivyspar
