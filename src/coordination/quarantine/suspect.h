#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Servers that run requests alike.
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

/// A run of a server that ended while it worked on such a request.
struct Crash
{
    /// Unique over all servers and all time.
    UpstreamId run;
    ServerKind kind;
    TimePoint at;
    /// The request was a suspect when it was sent, and ran alone among suspects.
    bool wasIsolated = false;
    /// The request was in quarantine and was let through to see whether that is still needed.
    bool isTrial = false;
};

/// What is known of requests of one fingerprint. Records of one fingerprint are
/// merged: of two epochs the
/// later one counts, within one epoch crashes and completions are united.
struct SuspectRecord
{
    Fingerprint fingerprint;
    /// Grows when an operator lifts the quarantine: what was known before counts no more.
    std::uint32_t epoch = 0;
    /// In the order of their runs' ids; no two of one run.
    std::vector<Crash> crashes;
    /// Servers that have answered such a request, in order.
    std::vector<ServerKind> completed;
    /// Servers that have not run it since it is in quarantine, in order.
    std::vector<ServerKind> untried;
    /// Of the last crash, or of the lifting.
    TimePoint changedAt;
};

enum class Suspicion {
    None,
    Suspect, ///< It may have crashed a server: it runs alone among its like.
    Held, ///< It may have crashed several servers, one of them just now: not before these are back.
    Quarantined, ///< It crashes the servers that run it.
};

/// Text that lives as long as the program.
const char *toText(Suspicion suspicion);

/// What is to be done with a request.
struct Assessment
{
    Suspicion suspicion = Suspicion::None;
    /// A suspect that was in quarantine.
    bool isTrial = false;
    /// When to come back, if it is held.
    Duration retryAfter{ 0 };
    std::size_t crashes = 0;
};

} // namespace ivyspar
