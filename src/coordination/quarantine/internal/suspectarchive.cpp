#include "coordination/quarantine/suspectarchive.h"

namespace ivyspar {

SuspectArchive::SuspectArchive(ISuspectTable &table, const SuspectArchiveOptions &options)
    : m_table(table)
    , m_options(options)
{
}

std::vector<Fingerprint> SuspectArchive::load(TimePoint now,
                                              const std::vector<SuspectRecord> &stored)
{
    std::vector<Fingerprint> changed;
    m_stored.clear();
    for (const SuspectRecord &record : stored) {
        m_stored[record.fingerprint] = digestOf(record);
        if (m_table.merge(now, record)) {
            changed.push_back(record.fingerprint);
        }
    }
    return changed;
}

SuspectStoreChanges SuspectArchive::changes() const
{
    SuspectStoreChanges changes;
    for (const auto &[fingerprint, digest] : m_stored) {
        const auto record = m_table.find(fingerprint);
        const bool hasRoom = changes.removed.size() < m_options.maxChanges;
        if (hasRoom && (!record || !isKept(*record))) {
            changes.removed.push_back(fingerprint);
        }
    }
    for (SuspectRecord &record : m_table.records()) {
        const auto stored = m_stored.find(record.fingerprint);
        const bool isStored = stored != m_stored.end() && stored->second == digestOf(record);
        const bool hasRoom = changes.written.size() < m_options.maxChanges;
        if (hasRoom && !isStored && isKept(record)) {
            changes.written.push_back(std::move(record));
        }
    }
    return changes;
}

bool SuspectArchive::isKept(const SuspectRecord &record) const
{
    return record.crashes.size() >= m_options.minCrashes && !isCleared(record);
}

} // namespace ivyspar
