#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Share of a demand, in thousandths. 0 for unknown.
using DemandShare = StrongType<std::uint32_t, struct DemandShareTag>;
constexpr DemandShare WHOLE_DEMAND{ 1000 };
/// The whole demand for a service over what it can take, in thousandths; above 1000 it does not
/// fit.
using DemandLoad = StrongType<std::uint32_t, struct DemandLoadTag>;
constexpr DemandLoad FULL_LOAD{ 1000 };
/// Of the sends to a service's servers, those that brought no answer though there was a slot for
/// them, in thousandths.
using LossShare = StrongType<std::uint32_t, struct LossShareTag>;
constexpr LossShare WHOLE_LOSS{ 1000 };

/// What a call and the calls below it cost one service, and how that service is.
struct ServiceUsage
{
    ServiceName service;
    /// Time for which slots of the service were taken.
    Duration busy{ 0 };
    DemandLoad load;
    LossShare loss;
    /// Calls of the tree that went there.
    std::uint32_t calls = 1;
};

/// One entry for each service that a call and the calls below it reached.
using TreeUsage = std::vector<ServiceUsage>;

/// Adds times and calls; of two loads or losses of one service it keeps their mean.
void addUsage(TreeUsage &sum, const TreeUsage &more);

} // namespace ivyspar
