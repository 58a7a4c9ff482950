#include "coordination/upstreams/leavingruns.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// Far more than the runs that a host can have within their lifetimes.
constexpr std::size_t MAX_RUNS = 64;

} // namespace

void LeavingRuns::add(const UpstreamRunName &run)
{
    if (contains(run)) {
        return;
    }
    m_runs.push_back(run);
    if (m_runs.size() > MAX_RUNS) {
        m_runs.pop_front();
    }
}

bool LeavingRuns::contains(const UpstreamRunName &run) const
{
    return std::find(m_runs.begin(), m_runs.end(), run) != m_runs.end();
}

} // namespace ivyspar
