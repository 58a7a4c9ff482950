#pragma once

#include "state/ids.h"

namespace ivyspar {

/// Rank of a call: class priority first, then depth (deeper calls first, as more was already
/// spent on their request), then a hash of the root id. All hops give the calls of one request
/// the same order against other requests of the class, so their verdicts agree.
Rank makeRank(Priority priority, Depth depth, RootId root);

/// The lowest rank that any call of this priority can have.
Rank lowestRankOf(Priority priority);

/// The same order among the calls of requests that were let in, above all ranks of `makeRank`.
Rank makeCommittedRank(Priority priority, Depth depth, RootId root);

Priority priorityOf(Rank rank);

} // namespace ivyspar
