#pragma once

#include "state/ids.h"

namespace ivyspar {

/// Rank of a call: ordered by class priority, then by depth (deeper calls first, as more work was
/// already done for their request), then by a hash of the root id. All daemons order the calls of
/// one request in the same way against other requests of the class, so their decisions agree.
Rank makeRank(Priority priority, Depth depth, RootId root);

/// The lowest rank that any call of this priority can have.
Rank lowestRankOf(Priority priority);

/// The same order for the calls of requests that were already admitted; above all ranks of
/// `makeRank`.
Rank makeCommittedRank(Priority priority, Depth depth, RootId root);

Priority priorityOf(Rank rank);
Depth depthOf(Rank rank);
bool isCommitted(Rank rank);

} // namespace ivyspar
