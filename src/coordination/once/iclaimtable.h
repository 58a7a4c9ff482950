#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/once/claimrecords.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Result of applying one claim of a batch.
struct ClaimDecision
{
    std::uint64_t nonce = 0;
    /// The claim is the first for its key, and this reader has all records needed to prove it.
    bool isFirst = false;
    /// The active claim that prevents this one from being first, if known.
    std::optional<ClaimHolder> blocker;
};

/// The claims of idempotency keys that result from replaying the claim stream.
///
/// A claim is the first, and its holder may run the call, if and only if no unreleased claim of
/// that key by another holder lies between the horizon of its batch and its own offset. This
/// depends only on those records, not on a clock or on the reader's state, so all readers agree. A
/// claim that was not the first stays active as well, until its daemon releases it.
///
/// Two holders never both run a key within its lifetime: let X have run, with its claim at offset
/// x; that claim is never released. A later claim Y with a horizon of at most x finds X active and
/// is not the first. If Y's horizon is above x, x is older than the claim window, and X's daemon
/// starts nothing that late (see OnceOptions).
class IClaimTable
{
public:
    virtual ~IClaimTable() = default;

    /// Clears the table and starts at `offset`; all records below it are older than the window.
    virtual void restart(TimePoint now, LogOffset offset) = 0;
    /// Applies the record at `appliedEnd()`; nullptr if it is not a claim batch. Returns one
    /// decision for each claim in it; releases have none.
    virtual std::vector<ClaimDecision> apply(const ClaimBatch *batch) = 0;
    /// Holder of the earliest active claim of the key that is not below the horizon.
    virtual std::optional<ClaimHolder> holder(const RuleName &rule,
                                              const IdempotencyKey &key) const = 0;
    virtual bool isActive(const RuleName &rule, const IdempotencyKey &key,
                          const ClaimHolder &holder) const = 0;
    /// Raises the horizon as far as this daemon's clock allows, evicts the claims below it and
    /// returns it. Must also be called periodically while no records arrive.
    virtual LogOffset advanceHorizon(TimePoint now) = 0;
    /// The offset after the last applied record.
    virtual LogOffset appliedEnd() const = 0;
    /// The window held more claims than `OnceOptions::maxTableEntries` allows: no claim is the
    /// first until the horizon has passed those that were not stored.
    virtual bool isOverCapacity() const = 0;
    /// Number of active claims.
    virtual std::size_t size() const = 0;
};

} // namespace ivyspar
