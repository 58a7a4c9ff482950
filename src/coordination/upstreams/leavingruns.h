#pragma once

#include <deque>

#include "state/ids.h"

namespace ivyspar {

/// Runs of servers that have stated that they leave. Such a run may be announced again after its
/// server was removed. Plain object.
class LeavingRuns
{
public:
    void add(const UpstreamId &run);
    bool contains(const UpstreamId &run) const;

private:
    /// Oldest first.
    std::deque<UpstreamId> m_runs;
};

} // namespace ivyspar
