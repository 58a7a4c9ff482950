#pragma once

#include <cstddef>
#include <memory>

#include "coordination/upstreams/iupstreamregistry.h"

namespace ivyspar {

struct UpstreamRegistryOptions
{
    /// A run that has not reported for this long is asked for its health.
    Duration silenceTimeout = std::chrono::milliseconds(4500);
    /// Time between two checks of a run that has not confirmed itself, and of a silent one.
    Duration checkInterval = std::chrono::milliseconds(500);
    /// A run in doubt that does not answer this many checks in a row is gone until it reports anew.
    std::uint32_t maxFailedChecks = 3;
    /// Runs that said goodbye and are remembered.
    std::size_t maxEndedRuns = 256;
};

std::unique_ptr<IUpstreamRegistry> makeUpstreamRegistry(const UpstreamRegistryOptions &options);

} // namespace ivyspar
