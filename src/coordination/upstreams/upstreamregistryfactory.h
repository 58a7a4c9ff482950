#pragma once

#include <cstddef>
#include <memory>

#include "coordination/upstreams/iupstreamregistry.h"

namespace ivyspar {

struct UpstreamRegistryOptions
{
    /// A run without a report for this time gets a health check.
    Duration silenceTimeout = std::chrono::milliseconds(4500);
    /// Interval of the health checks of an unconfirmed or silent run.
    Duration checkInterval = std::chrono::milliseconds(500);
    /// A run that fails this many health checks in a row without an answer is removed until its
    /// next report.
    std::uint32_t maxFailedChecks = 3;
    /// Maximum number of ended runs to remember.
    std::size_t maxEndedRuns = 256;
};

std::unique_ptr<IUpstreamRegistry> makeUpstreamRegistry(const UpstreamRegistryOptions &options);

} // namespace ivyspar
