#pragma once

#include <cstdint>
#include <vector>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Share of a demand, in thousandths; 0 if unknown.
using DemandShare = StrongType<std::uint32_t, struct DemandShareTag>;
constexpr DemandShare WHOLE_DEMAND{ 1000 };
/// Total demand for a service relative to its capacity, in thousandths; above 1000 it exceeds the
/// capacity.
using DemandLoad = StrongType<std::uint32_t, struct DemandLoadTag>;
constexpr DemandLoad FULL_LOAD{ 1000 };
/// Share of the sends to a service's servers that got no response although a slot was free, in
/// thousandths.
using LossShare = StrongType<std::uint32_t, struct LossShareTag>;
constexpr LossShare WHOLE_LOSS{ 1000 };

/// What a call and the calls below it used of one service, with that service's load and loss.
struct ServiceUsage
{
    ServiceName service;
    /// Time for which slots of the service were occupied.
    Duration busy{ 0 };
    DemandLoad load;
    LossShare loss;
    /// Calls of the tree that went to the service.
    std::uint32_t calls = 1;
};

/// One entry for each service that a call and the calls below it reached.
using TreeUsage = std::vector<ServiceUsage>;

/// Adds `more` to `sum`: times and calls are added, loads and losses of one service are averaged.
void addUsage(TreeUsage &sum, const TreeUsage &more);

} // namespace ivyspar
