#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/once/claimrecords.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// What became of one claim of a batch.
struct ClaimDecision
{
    std::uint64_t nonce = 0;
    /// The claim is the first of its key, and this reader holds all records that prove it.
    bool isFirst = false;
    /// The claim that stands in the way, if one is known.
    std::optional<ClaimHolder> blocker;
};

/// Folds the claim stream.
///
/// A claim is the first, and its holder may run the call, iff between the horizon of its batch and
/// its own offset no claim of that key by another holder stands unreleased. That depends only on
/// those records, and not on a clock or on what the reader remembers, so all readers agree. A claim
/// that was not the first stands too until its daemon releases it.
///
/// Why two holders never both run a key within its lifetime: let X have run, with its claim at
/// offset x; it never releases it. A later claim Y with a horizon up to x sees X standing and is
/// not the first. A claim Y with a horizon above x says that x is older than the window, and X's
/// daemon starts nothing that late (see OnceOptions).
class IClaimTable
{
public:
    virtual ~IClaimTable() = default;

    /// Forgets everything and starts at `offset`, below which all is older than the window.
    virtual void restart(TimePoint now, LogOffset offset) = 0;
    /// Applies the record at `appliedEnd()`; nullptr for one that is not a claim batch. Returns a
    /// decision for each claim in it.
    virtual std::vector<ClaimDecision> apply(const ClaimBatch *batch) = 0;
    /// The earliest claim of the key that stands above the horizon.
    virtual std::optional<ClaimHolder> holder(const RuleName &rule,
                                              const IdempotencyKey &key) const = 0;
    virtual bool isActive(const RuleName &rule, const IdempotencyKey &key,
                          const ClaimHolder &holder) const = 0;
    /// Raises the horizon as far as this observer's clock proves, and forgets what is below. To be
    /// called now and then also while no records come.
    virtual LogOffset advanceHorizon(TimePoint now) = 0;
    /// The offset after the last record applied.
    virtual LogOffset appliedEnd() const = 0;
    /// More claims stand in the window than memory allows: no claim is the first before the horizon
    /// has passed those that were not kept.
    virtual bool isOverCapacity() const = 0;
    virtual std::size_t size() const = 0;
};

} // namespace ivyspar
