#pragma once

#include <string>

#include "state/ids.h"

namespace ivyspar {

/// One run of an upstream's process, from its start to its end, as the upstream reports it.
struct UpstreamRun
{
    /// Empty where upstreams do not report one. A restarted upstream may keep it.
    UpstreamId instance;
    /// Distinguishes consecutive runs of an instance.
    UpstreamStart start = {};

    bool isNamed() const { return !instance.value().empty(); }

    friend bool operator==(const UpstreamRun &a, const UpstreamRun &b)
    {
        return a.instance == b.instance && a.start == b.start;
    }
    friend bool operator!=(const UpstreamRun &a, const UpstreamRun &b) { return !(a == b); }
};

/// Returns the name of a run that has an instance id. Without a start time it is also the name of
/// the instance's other runs.
inline UpstreamRunName nameOf(const UpstreamRun &run)
{
    const bool hasStart = run.start != UpstreamStart();
    return UpstreamRunName(run.instance.value()
                           + (hasStart ? '@' + std::to_string(run.start.value()) : ""));
}

} // namespace ivyspar
