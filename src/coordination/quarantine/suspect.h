#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Servers of one service and version, which are expected to treat a request the same way.
struct ServerKind
{
    ServiceName service;
    UpstreamVersion version;

    friend bool operator==(const ServerKind &a, const ServerKind &b)
    {
        return a.service == b.service && a.version == b.version;
    }
    friend bool operator!=(const ServerKind &a, const ServerKind &b) { return !(a == b); }
    friend bool operator<(const ServerKind &a, const ServerKind &b)
    {
        return a.service != b.service ? a.service < b.service : a.version < b.version;
    }
};

/// Crash of a server while a request with the record's fingerprint was in progress there.
struct Crash
{
    /// Identifies the run of the server; unique over all servers and all time.
    UpstreamRunName run;
    ServerKind kind;
    TimePoint at;
    /// The request was already a suspect when it was sent, and no other suspect ran at the server.
    bool wasIsolated = false;
    /// The request was in quarantine and was admitted as a trial, to see whether it still crashes
    /// servers.
    bool isTrial = false;
};

/// What is known about requests with one fingerprint. When two records are merged, the later epoch
/// wins; within one epoch, crashes and kinds of servers are merged by union.
struct SuspectRecord
{
    Fingerprint fingerprint;
    /// Incremented when an operator lifts the quarantine; invalidates everything known before.
    std::uint32_t epoch = 0;
    /// Sorted by `run`, without duplicates.
    std::vector<Crash> crashes;
    /// Kinds of servers that have completed such a request, sorted.
    std::vector<ServerKind> completed;
    /// Kinds of servers that have not run such a request since it was quarantined, sorted.
    std::vector<ServerKind> untried;
    /// Time of the last crash, or of the lift if there was none since.
    TimePoint changedAt;
};

/// Whether such a request has completed at a server of that kind.
bool hasCompleted(const SuspectRecord &record, const ServerKind &kind);
/// Whether such a request has completed at every kind of server that it may have crashed.
bool isCleared(const SuspectRecord &record);
/// Hash of the record without its times.
std::uint64_t digestOf(const SuspectRecord &record);

enum class Suspicion {
    None,
    Suspect, ///< May have crashed a server; runs at servers one suspect at a time.
    Held, ///< May have crashed several servers, one recently; does not run until they are back.
    Quarantined, ///< Crashes the servers that run it; does not run.
};

/// The name in logs and status documents. Has static lifetime.
const char *toText(Suspicion suspicion);

/// How a request is to be handled.
struct Assessment
{
    Suspicion suspicion = Suspicion::None;
    /// A quarantined request that gets a trial as a suspect.
    bool isTrial = false;
    /// Retry delay of a held request.
    Duration retryAfter{ 0 };
    /// Crashes that count as evidence against the request.
    std::size_t crashes = 0;
};

} // namespace ivyspar
