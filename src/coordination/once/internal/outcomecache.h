#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "coordination/once/ioncecoordinator.h"

namespace ivyspar {

/// Outcome of a run, for later attempts with the same key.
struct StoredOutcome
{
    Verdict verdict;
    HttpResponse response;
};

/// Outcomes of runs, bounded in bytes: beyond the bound the oldest ones are evicted.
class OutcomeCache
{
public:
    OutcomeCache(std::size_t maxBytes, std::size_t maxOutcomeBytes);

    /// `id` must not have been stored before. An outcome of more than `maxOutcomeBytes` is not
    /// kept.
    void put(std::uint64_t id, StoredOutcome outcome);
    /// The result for a later attempt: `Unknown` with `KeyHolderGone` if the outcome was evicted or
    /// was too large to be kept.
    StoredOutcome get(std::uint64_t id) const;
    void erase(std::uint64_t id);

private:
    std::size_t m_maxBytes;
    std::size_t m_maxOutcomeBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<std::uint64_t, std::pair<StoredOutcome, std::size_t>> m_outcomes;
    /// Ids from the oldest to the newest.
    std::deque<std::uint64_t> m_order;
};

} // namespace ivyspar
