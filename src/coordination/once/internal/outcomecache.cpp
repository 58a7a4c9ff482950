#include "coordination/once/internal/outcomecache.h"

namespace ivyspar {

namespace {

/// Estimated size of an outcome without its headers and body.
constexpr std::size_t OUTCOME_OVERHEAD_BYTES = 128;

std::size_t sizeOf(const StoredOutcome &outcome)
{
    std::size_t bytes = OUTCOME_OVERHEAD_BYTES + outcome.response.body.size();
    for (const HttpHeader &header : outcome.response.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

OutcomeCache::OutcomeCache(std::size_t maxBytes, std::size_t maxOutcomeBytes)
    : m_maxBytes(maxBytes)
    , m_maxOutcomeBytes(maxOutcomeBytes)
{
}

void OutcomeCache::put(std::uint64_t id, StoredOutcome outcome)
{
    const std::size_t bytes = sizeOf(outcome);
    if (bytes > m_maxOutcomeBytes) {
        return;
    }
    m_bytes += bytes;
    m_outcomes.emplace(id, std::make_pair(std::move(outcome), bytes));
    m_order.push_back(id);
    while (m_bytes > m_maxBytes && !m_order.empty()) {
        const std::uint64_t oldest = m_order.front();
        erase(oldest);
    }
}

StoredOutcome OutcomeCache::get(std::uint64_t id) const
{
    const auto found = m_outcomes.find(id);
    if (found == m_outcomes.end()) {
        StoredOutcome lost;
        lost.verdict.outcome = Outcome::Unknown;
        lost.verdict.reason = Reason::KeyHolderGone;
        return lost;
    }
    return found->second.first;
}

void OutcomeCache::erase(std::uint64_t id)
{
    const auto found = m_outcomes.find(id);
    if (found == m_outcomes.end()) {
        return;
    }
    m_bytes -= found->second.second;
    m_outcomes.erase(found);
    while (!m_order.empty() && m_outcomes.count(m_order.front()) == 0) {
        m_order.pop_front();
    }
}

} // namespace ivyspar
