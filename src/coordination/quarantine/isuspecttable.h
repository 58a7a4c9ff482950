#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coordination/quarantine/suspect.h"

namespace ivyspar {

struct SuspectTableOptions
{
    /// Number of crashes of servers of one kind at which a request is quarantined there.
    std::size_t crashThreshold = 3;
    /// Time within which a crashed server usually has restarted.
    Duration recoveryTime = std::chrono::seconds(3);
    /// A quarantined request gets a trial after this time without a crash …
    Duration trialInterval = std::chrono::minutes(10);
    /// … or at servers of another kind, such as a new version. After this many trials with a crash
    /// there are no more.
    std::size_t maxTrials = 3;

    /// Retention of a record after its last crash: of a request that has completed at every kind of
    /// server that it may have crashed, …
    Duration clearedRetention = std::chrono::seconds(60);
    /// … of one that has not, …
    Duration suspectRetention = std::chrono::minutes(5);
    /// … and of one in quarantine.
    Duration quarantineRetention = std::chrono::hours(24);
    std::size_t maxRecords = 1024;
    std::size_t maxCrashesPerRecord = 16;
};

/// Tracks which requests may have crashed servers, and which are quarantined for it. Plain object.
///
/// A crash makes suspects of all requests that were in progress at the server. A suspect that
/// completes at a server of the same kind is cleared. One that has never completed there, and was
/// in progress at several crashes, is taken for their cause. Crashes are kept as a set of server
/// runs that daemons merge by union, so a crash that is reported twice counts once.
///
/// Crashes at which the request was not yet a suspect count as one in total: when several servers
/// crash at once for another reason, a frequent request is in progress at all of them.
class ISuspectTable
{
public:
    virtual ~ISuspectTable() = default;

    virtual bool isEmpty() const = 0;
    /// Assesses the request for a server of that kind.
    virtual Assessment assess(TimePoint now, const Fingerprint &fingerprint,
                              const ServerKind &kind) const = 0;
    /// Assesses the request before a server is chosen: the mildest assessment over the kinds of
    /// servers in its record.
    virtual Assessment assess(TimePoint now, const Fingerprint &fingerprint) const = 0;

    /// Adds a crash. This and the following functions return whether the table has changed.
    virtual bool addCrash(TimePoint now, const Fingerprint &fingerprint, const Crash &crash) = 0;
    /// Clears the request for that kind of server. Ignored for requests without a record.
    virtual bool addCompletion(const Fingerprint &fingerprint, const ServerKind &kind) = 0;
    /// Records that there are servers of that kind, if the request is quarantined and has crashed
    /// servers of that service, but none of that kind.
    virtual bool addUntried(const Fingerprint &fingerprint, const ServerKind &kind) = 0;
    /// Merges a record from another daemon.
    virtual bool merge(TimePoint now, const SuspectRecord &record) = 0;
    /// Clears the request's record here, and at all daemons that merge the new record. False if
    /// there is none.
    virtual bool lift(TimePoint now, const Fingerprint &fingerprint) = 0;
    /// Removes the records whose retention is over.
    virtual void expire(TimePoint now) = 0;

    virtual std::optional<SuspectRecord> find(const Fingerprint &fingerprint) const = 0;
    virtual std::vector<SuspectRecord> records() const = 0;
    /// Hash of all records; equal at daemons with equal records.
    virtual std::uint64_t digest() const = 0;
};

std::unique_ptr<ISuspectTable> makeSuspectTable(const SuspectTableOptions &options = {});

} // namespace ivyspar
