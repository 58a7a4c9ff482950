#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "coordination/once/ioncecoordinator.h"

namespace ivyspar {

/// How a run ended, for later attempts with the same key.
struct StoredOutcome
{
    Verdict verdict;
    HttpResponse response;
};

/// Keeps the ends of runs, with a bound on bytes: beyond it the oldest answers are dropped.
class OutcomeCache
{
public:
    OutcomeCache(std::size_t maxBytes, std::size_t maxOutcomeBytes);

    /// `id` is new in each call.
    void put(std::uint64_t id, StoredOutcome outcome);
    /// What a later attempt is told: an answer that was dropped, or too large to keep, is
    /// `Unknown`.
    StoredOutcome get(std::uint64_t id) const;
    void erase(std::uint64_t id);

private:
    std::size_t m_maxBytes;
    std::size_t m_maxOutcomeBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<std::uint64_t, std::pair<StoredOutcome, std::size_t>> m_outcomes;
    std::deque<std::uint64_t> m_order;
};

} // namespace ivyspar
