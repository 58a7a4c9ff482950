#include "coordination/once/internal/claimtable.h"

#include <algorithm>

#include <xxhash.h>

namespace ivyspar {

namespace {
constexpr int OFFSET_SAMPLES_PER_WINDOW = 200;
} // namespace

std::unique_ptr<IClaimTable> makeClaimTable(const OnceOptions &options, std::uint64_t hashSeed)
{
    return std::make_unique<ClaimTable>(options, hashSeed);
}

ClaimTable::ClaimTable(const OnceOptions &options, std::uint64_t hashSeed)
    : m_options(options)
    , m_hashSeed(hashSeed)
{
}

void ClaimTable::restart(TimePoint now, LogOffset offset)
{
    m_end = offset;
    m_horizon = offset;
    m_activeClaims.clear();
    m_order.clear();
    m_owners.clear();
    m_offsetSamples.clear();
    m_offsetSamples.push_back({ offset, now });
    m_completeFrom = offset;
}

std::vector<ClaimDecision> ClaimTable::apply(const ClaimBatch *batch)
{
    const LogOffset offset = m_end;
    m_end = LogOffset(offset.value() + 1);
    std::vector<ClaimDecision> decisions;
    if (!batch) {
        return decisions;
    }
    const Owner *owner = &*m_owners.emplace(batch->daemon, batch->incarnation).first;
    for (const ClaimEntry &entry : batch->entries) {
        const KeyHash hash = hashOf(entry.rule, entry.key);
        const auto own = findActive(hash, *owner, entry.nonce);
        if (entry.kind == ClaimKind::Release) {
            if (own != m_activeClaims.end()) {
                m_activeClaims.erase(own);
            }
            continue;
        }
        ClaimDecision decision;
        decision.nonce = entry.nonce;
        decision.blocker = blocker(hash, batch->horizon, owner, entry.nonce);
        decision.isFirst = !decision.blocker && batch->horizon >= m_completeFrom;
        decisions.push_back(std::move(decision));
        if (own == m_activeClaims.end() && !hasRoom()) {
            // The bound keeps a flood of keys from exhausting the memory. No claim counts as the
            // first until the horizon has passed the claims that were not stored, so no key runs
            // twice.
            m_completeFrom = m_end;
        } else if (own == m_activeClaims.end()) {
            m_activeClaims.emplace(hash, ActiveClaim{ offset, owner, entry.nonce });
            m_order.emplace_back(offset, hash);
        }
    }
    // The horizon of another daemon's batch is valid here too, and may be ahead of this table's.
    if (batch->horizon > m_horizon && batch->horizon <= offset) {
        evictBelow(batch->horizon);
    }
    return decisions;
}

std::optional<ClaimHolder> ClaimTable::holder(const RuleName &rule, const IdempotencyKey &key) const
{
    return blocker(hashOf(rule, key), m_horizon, nullptr, 0);
}

bool ClaimTable::isActive(const RuleName &rule, const IdempotencyKey &key,
                          const ClaimHolder &holder) const
{
    const Owner owner(holder.daemon, holder.incarnation);
    return findActive(hashOf(rule, key), owner, holder.nonce) != m_activeClaims.end();
}

LogOffset ClaimTable::advanceHorizon(TimePoint now)
{
    const bool isSampled = !m_offsetSamples.empty()
        && (m_offsetSamples.back().offset == m_end
            || now - m_offsetSamples.back().at < m_options.window() / OFFSET_SAMPLES_PER_WINDOW);
    if (!isSampled) {
        m_offsetSamples.push_back({ m_end, now });
    }
    LogOffset horizon = m_horizon;
    while (!m_offsetSamples.empty() && now - m_offsetSamples.front().at >= m_options.window()) {
        horizon = std::max(horizon, m_offsetSamples.front().offset);
        m_offsetSamples.pop_front();
    }
    if (horizon > m_horizon) {
        evictBelow(horizon);
    }
    return m_horizon;
}

ClaimTable::KeyHash ClaimTable::hashOf(const RuleName &rule, const IdempotencyKey &key) const
{
    // The length distinguishes ("a", "bc") from ("ab", "c").
    std::string text = std::to_string(rule.value().size()) + ':';
    text += rule.value();
    text += key.value();
    const XXH128_hash_t hash = XXH3_128bits_withSeed(text.data(), text.size(), m_hashSeed);
    return { hash.low64, hash.high64 };
}

ClaimTable::ActiveClaims::const_iterator
ClaimTable::findActive(const KeyHash &hash, const Owner &owner, std::uint64_t nonce) const
{
    const auto [begin, end] = m_activeClaims.equal_range(hash);
    const auto found = std::find_if(begin, end, [&](const auto &claim) {
        return claim.second.nonce == nonce && *claim.second.owner == owner;
    });
    return found == end ? m_activeClaims.end() : found;
}

std::optional<ClaimHolder> ClaimTable::blocker(const KeyHash &hash, LogOffset from,
                                               const Owner *owner, std::uint64_t nonce) const
{
    const ActiveClaim *earliest = nullptr;
    const auto [begin, end] = m_activeClaims.equal_range(hash);
    for (auto it = begin; it != end; ++it) {
        const ActiveClaim &claim = it->second;
        const bool isOwn = claim.owner == owner && claim.nonce == nonce;
        if (isOwn || claim.offset < from) {
            continue;
        }
        if (!earliest || claim.offset < earliest->offset) {
            earliest = &claim;
        }
    }
    if (!earliest || !earliest->owner) {
        return std::nullopt;
    }
    return ClaimHolder{ earliest->owner->first, earliest->owner->second, earliest->nonce };
}

bool ClaimTable::hasRoom() const
{
    return m_activeClaims.size() < m_options.maxTableEntries
        && m_order.size() < 2 * m_options.maxTableEntries;
}

void ClaimTable::evictBelow(LogOffset horizon)
{
    m_horizon = horizon;
    while (!m_order.empty() && m_order.front().first < horizon) {
        const auto [begin, end] = m_activeClaims.equal_range(m_order.front().second);
        for (auto it = begin; it != end;) {
            it = it->second.offset < horizon ? m_activeClaims.erase(it) : std::next(it);
        }
        m_order.pop_front();
    }
}

} // namespace ivyspar
