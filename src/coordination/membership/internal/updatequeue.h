#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "coordination/membership/membershipmessages.h"

namespace ivyspar {

/// Updates that still have to be spread. Each is handed out a bounded number of times, those handed
/// out least first, so that a burst of changes does not hold back the newest.
class UpdateQueue
{
public:
    bool isEmpty() const { return m_pending.empty(); }
    /// Replaces an older update of the same daemon.
    void push(MemberUpdate update);
    /// Takes updates for one message, up to about `maxBytes`. An update that was handed out
    /// `maxSends` times is forgotten.
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
