#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "coordination/membership/membershipmessages.h"

namespace ivyspar {

/// Queue of updates to gossip. Each update is sent a bounded number of times, the least sent ones
/// first, so that a burst of changes does not delay the newest.
class UpdateQueue
{
public:
    bool isEmpty() const { return m_pending.empty(); }
    /// Replaces the pending update of the same daemon.
    void push(MemberUpdate update);
    /// Returns the updates for one message, up to about `maxBytes` but at least one if there is
    /// any. Drops an update after it was returned `maxSends` times.
    std::vector<MemberUpdate> take(std::size_t maxBytes, std::size_t maxSends);

private:
    struct PendingUpdate
    {
        MemberUpdate update;
        std::size_t sends = 0;
    };

    std::unordered_map<DaemonId, PendingUpdate> m_pending;
};

} // namespace ivyspar
