#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/quarantine/suspect.h"

namespace ivyspar {

struct SuspectTableOptions
{
    /// Servers of one kind that a request may crash before it is quarantined there.
    std::size_t crashThreshold = 3;
    /// In this time a crashed server is usually back.
    Duration recoveryTime = std::chrono::seconds(3);
    /// A quarantined request is tried again after this time without a crash …
    Duration trialInterval = std::chrono::minutes(10);
    /// … or on servers of another kind, as of a new version; so often in all.
    std::size_t maxTrials = 3;

    /// For how long a request is remembered after its last crash: one that has completed since, …
    Duration clearedRetention = std::chrono::seconds(60);
    /// … one that has not, …
    Duration suspectRetention = std::chrono::minutes(5);
    /// … and one in quarantine.
    Duration quarantineRetention = std::chrono::hours(24);
    std::size_t maxRecords = 1024;
    /// In one record.
    std::size_t maxCrashesPerRecord = 16;
};

/// Which requests may have crashed servers, and which do. Plain object.
///
/// All that a server works on ends with it, so each crash makes suspects of all these requests. One
/// that completes on a server of the same kind is none any more; one that has never completed
/// there, and was there when several runs of servers ended, is what ended them. Crashes are counted
/// by runs of servers, as a set that daemons unite: what is told twice counts once.
///
/// Runs under which a request was not yet a suspect count as one together: when several servers end
/// at once, of whatever, a request in demand is under way at all of them.
class ISuspectTable
{
public:
    virtual ~ISuspectTable() = default;

    virtual bool isEmpty() const = 0;
    /// At a server of that kind.
    virtual Assessment assess(TimePoint now, const Fingerprint &fingerprint,
                              const ServerKind &kind) const = 0;
    /// Before a server is chosen: the least of the suspicions at the kinds of servers that are
    /// known.
    virtual Assessment assess(TimePoint now, const Fingerprint &fingerprint) const = 0;

    /// These return whether anything new was learnt.
    virtual bool addCrash(TimePoint now, const Fingerprint &fingerprint, const Crash &crash) = 0;
    virtual bool addCompletion(const Fingerprint &fingerprint, const ServerKind &kind) = 0;
    /// There is a server of that kind. Learns of it if the request is in quarantine, crashed
    /// servers of that service, and none of that kind.
    virtual bool addUntried(const Fingerprint &fingerprint, const ServerKind &kind) = 0;
    virtual bool merge(TimePoint now, const SuspectRecord &record) = 0;
    /// Forgets all that is held against the request, here and wherever the record is merged.
    virtual bool lift(TimePoint now, const Fingerprint &fingerprint) = 0;
    virtual void expire(TimePoint now) = 0;

    virtual std::optional<SuspectRecord> find(const Fingerprint &fingerprint) const = 0;
    virtual std::vector<SuspectRecord> records() const = 0;
    /// The same at daemons that know the same.
    virtual std::uint64_t digest() const = 0;
};

std::unique_ptr<ISuspectTable> makeSuspectTable(const SuspectTableOptions &options = {});

} // namespace ivyspar
