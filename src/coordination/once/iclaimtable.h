#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Who may run a key: one attempt of one run of one daemon.
struct ClaimHolder
{
    DaemonId daemon;
    Incarnation incarnation;
    /// Tells apart the claims of one incarnation.
    std::uint64_t nonce = 0;

    friend bool operator==(const ClaimHolder &a, const ClaimHolder &b)
    {
        return a.daemon == b.daemon && a.incarnation == b.incarnation && a.nonce == b.nonce;
    }
};

enum class ClaimKind {
    Claim,
    Release, ///< The holder proved that the key's request was not run.
};

/// One entry of a claim record; a record of the log carries a batch of them.
struct ClaimEntry
{
    ClaimKind kind = ClaimKind::Claim;
    /// Scope of a key: the rule under which it was used.
    RuleName rule;
    IdempotencyKey key;
    ClaimHolder holder;
    Duration lifetime{ 0 };
};

/// Folds the claim stream: the first claim of a key that is free holds it until it is released or
/// its lifetime is over. The order of the log alone decides.
class IClaimTable
{
public:
    virtual ~IClaimTable() = default;

    /// Applies one record; offsets are applied in order and each once.
    virtual void apply(TimePoint now, LogOffset offset, const std::vector<ClaimEntry> &batch) = 0;
    virtual std::optional<ClaimHolder> holder(TimePoint now, const RuleName &rule,
                                              const IdempotencyKey &key) const = 0;
    /// The offset after the last record applied.
    virtual LogOffset appliedEnd() const = 0;
    virtual std::size_t size() const = 0;
};

} // namespace ivyspar
