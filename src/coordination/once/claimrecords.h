#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"

namespace ivyspar {

/// Who claims a key: one claim of one run of one daemon.
struct ClaimHolder
{
    DaemonId daemon;
    Incarnation incarnation;
    /// Tells apart the claims of one incarnation.
    std::uint64_t nonce = 0;

    friend bool operator==(const ClaimHolder &a, const ClaimHolder &b)
    {
        return a.nonce == b.nonce && a.incarnation == b.incarnation && a.daemon == b.daemon;
    }
    friend bool operator!=(const ClaimHolder &a, const ClaimHolder &b) { return !(a == b); }
};

enum class ClaimKind {
    Claim,
    Release, ///< The claim's call was not run, and never will be.
};

struct ClaimEntry
{
    ClaimKind kind = ClaimKind::Claim;
    /// Scope of a key: the rule under which it was used.
    RuleName rule;
    IdempotencyKey key;
    std::uint64_t nonce = 0;
};

/// One record of the claim stream: claims and releases of one daemon, in order.
struct ClaimBatch
{
    DaemonId daemon;
    Incarnation incarnation;
    /// All records below this offset are older than the claim window. The daemon that appended the
    /// batch knows it from its own clock or from the log's retention. It holds for every reader.
    LogOffset horizon;
    std::vector<ClaimEntry> entries;
};

} // namespace ivyspar
