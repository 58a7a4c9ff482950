#pragma once

#include <deque>

#include "state/ids.h"

namespace ivyspar {

/// Runs of servers that have stated that they leave. Such a run may be announced again after its
/// server was removed. Plain object.
class LeavingRuns
{
public:
    void add(const UpstreamRunName &run);
    bool contains(const UpstreamRunName &run) const;

private:
    /// Oldest first.
    std::deque<UpstreamRunName> m_runs;
};

} // namespace ivyspar
