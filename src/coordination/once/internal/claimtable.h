#pragma once

#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "coordination/once/iclaimtable.h"
#include "coordination/once/oncefactory.h"

namespace ivyspar {

class ClaimTable : public IClaimTable
{
public:
    ClaimTable(const OnceOptions &options, std::uint64_t hashSeed);

    void restart(TimePoint now, LogOffset offset) override;
    std::vector<ClaimDecision> apply(const ClaimBatch *batch) override;
    std::optional<ClaimHolder> holder(const RuleName &rule,
                                      const IdempotencyKey &key) const override;
    bool isActive(const RuleName &rule, const IdempotencyKey &key,
                  const ClaimHolder &holder) const override;
    LogOffset advanceHorizon(TimePoint now) override;
    LogOffset appliedEnd() const override { return m_end; }
    bool isOverCapacity() const override { return m_horizon < m_completeFrom; }
    std::size_t size() const override { return m_activeClaims.size(); }

private:
    using Owner = std::pair<DaemonId, Incarnation>;

    /// 128 bits of a keyed hash over rule and key.
    struct KeyHash
    {
        std::uint64_t low = 0;
        std::uint64_t high = 0;
        friend bool operator==(const KeyHash &a, const KeyHash &b)
        {
            return a.low == b.low && a.high == b.high;
        }
    };
    struct KeyHashHasher
    {
        std::size_t operator()(const KeyHash &hash) const { return hash.low; }
    };
    struct ActiveClaim
    {
        LogOffset offset;
        /// Points into `m_owners`.
        const Owner *owner = nullptr;
        std::uint64_t nonce = 0;
    };
    using ActiveClaims = std::unordered_multimap<KeyHash, ActiveClaim, KeyHashHasher>;
    /// At time `at`, this daemon had read all records below `offset`.
    struct OffsetSample
    {
        LogOffset offset;
        TimePoint at;
    };

    KeyHash hashOf(const RuleName &rule, const IdempotencyKey &key) const;
    ActiveClaims::const_iterator findActive(const KeyHash &hash, const Owner &owner,
                                            std::uint64_t nonce) const;
    /// Holder of the earliest active claim at or after `from` that is not (owner, nonce).
    std::optional<ClaimHolder> blocker(const KeyHash &hash, LogOffset from, const Owner *owner,
                                       std::uint64_t nonce) const;
    bool hasRoom() const;
    void evictBelow(LogOffset horizon);

    const OnceOptions m_options;
    const std::uint64_t m_hashSeed;
    LogOffset m_end;
    LogOffset m_horizon;
    ActiveClaims m_activeClaims;
    /// All claims above the horizon, including released ones, in order of offset.
    std::deque<std::pair<LogOffset, KeyHash>> m_order;
    std::set<Owner> m_owners;
    std::deque<OffsetSample> m_offsetSamples;
    /// Claims below this offset may be missing from the table.
    LogOffset m_completeFrom;
};

} // namespace ivyspar
