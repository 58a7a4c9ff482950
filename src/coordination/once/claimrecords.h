#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"

namespace ivyspar {

/// Identifies one claim: the daemon, its incarnation, and the claim's nonce.
struct ClaimHolder
{
    DaemonId daemon;
    Incarnation incarnation;
    /// Unique within the incarnation.
    std::uint64_t nonce = 0;

    friend bool operator==(const ClaimHolder &a, const ClaimHolder &b)
    {
        return a.nonce == b.nonce && a.incarnation == b.incarnation && a.daemon == b.daemon;
    }
    friend bool operator!=(const ClaimHolder &a, const ClaimHolder &b) { return !(a == b); }
};

enum class ClaimKind {
    Claim,
    Release, ///< Withdraws a claim whose call did not run and never will.
};

struct ClaimEntry
{
    ClaimKind kind = ClaimKind::Claim;
    /// A key is scoped to the rule under which it was used.
    RuleName rule;
    IdempotencyKey key;
    std::uint64_t nonce = 0;
};

/// One record of the claim stream: claims and releases of one daemon, in the order they apply.
struct ClaimBatch
{
    DaemonId daemon;
    Incarnation incarnation;
    /// All records below this offset are older than the claim window. The appending daemon derives
    /// it from its own clock or from the log's retention; it is valid for every reader.
    LogOffset horizon;
    std::vector<ClaimEntry> entries;
};

} // namespace ivyspar
