#pragma once

#include <map>

#include "coordination/quarantine/isuspecttable.h"

namespace ivyspar {

class SuspectTable : public ISuspectTable
{
public:
    explicit SuspectTable(const SuspectTableOptions &options);

    bool isEmpty() const override { return m_records.empty(); }
    Assessment assess(TimePoint now, const Fingerprint &fingerprint,
                      const ServerKind &kind) const override;
    Assessment assess(TimePoint now, const Fingerprint &fingerprint) const override;
    bool addCrash(TimePoint now, const Fingerprint &fingerprint, const Crash &crash) override;
    bool addCompletion(const Fingerprint &fingerprint, const ServerKind &kind) override;
    bool addUntried(const Fingerprint &fingerprint, const ServerKind &kind) override;
    bool merge(TimePoint now, const SuspectRecord &record) override;
    bool lift(TimePoint now, const Fingerprint &fingerprint) override;
    void expire(TimePoint now) override;
    std::optional<SuspectRecord> find(const Fingerprint &fingerprint) const override;
    std::vector<SuspectRecord> records() const override;
    std::uint64_t digest() const override;

private:
    using Records = std::map<Fingerprint, SuspectRecord>;

    Assessment assessRecord(TimePoint now, const SuspectRecord &record,
                            const ServerKind &kind) const;
    bool reachesCrashThreshold(const SuspectRecord &record) const;
    bool isExpired(TimePoint now, const SuspectRecord &record) const;
    bool mergeInto(const SuspectRecord &from, SuspectRecord &into) const;
    bool insertCrash(const Crash &crash, SuspectRecord &into) const;
    /// Makes room for one more record. False if all are quarantined.
    bool evictOldest();

    SuspectTableOptions m_options;
    Records m_records;
};

} // namespace ivyspar
