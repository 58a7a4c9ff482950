#pragma once

#include <cstddef>
#include <vector>

#include "standins/load/loadgenerator.h"

namespace ivyspar::lab {

/// Runs a plan to its end on `threads` threads, each with its share of the rate. Blocks the caller.
std::vector<LoadRecord> runLoad(const CallGraph &graph, const LoadPlan &plan, std::size_t threads);

} // namespace ivyspar::lab
