#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "coordination/quarantine/isuspecttable.h"

namespace ivyspar {

struct SuspectArchiveOptions
{
    /// A request that was in progress at fewer crashes is not kept: most of these are innocent.
    std::size_t minCrashes = 2;
    /// Bound on the changes of one write.
    std::size_t maxChanges = 64;
};

/// Changes of the records in the store.
struct SuspectStoreChanges
{
    std::vector<SuspectRecord> written;
    std::vector<Fingerprint> removed;

    bool isEmpty() const { return written.empty() && removed.empty(); }
};

/// Keeps the records of a table in a store that outlives all daemons, which share it. Each of them
/// merges what the store holds into its table and writes what the store lacks. Records that two
/// daemons write at the same time are merged at the next read. Plain object.
class SuspectArchive
{
public:
    /// `table` outlives the object.
    explicit SuspectArchive(ISuspectTable &table, const SuspectArchiveOptions &options = {});

    /// Merges all records of the store into the table. Returns the fingerprints of those that have
    /// changed there.
    std::vector<Fingerprint> load(TimePoint now, const std::vector<SuspectRecord> &stored);
    /// What the store lacks, and what it holds in vain, as of the last `load`.
    SuspectStoreChanges changes() const;

private:
    bool isKept(const SuspectRecord &record) const;

    ISuspectTable &m_table;
    SuspectArchiveOptions m_options;
    /// Digests of the records in the store.
    std::map<Fingerprint, std::uint64_t> m_stored;
};

} // namespace ivyspar
