#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/load/loadgenerator.h"

namespace ivyspar::lab {

/// Counts over the records of one load.
struct LoadSummary
{
    std::size_t requests = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t timedOut = 0;
    std::size_t wrong = 0;
    std::map<std::string, std::size_t> completedByClass;
    std::map<std::string, std::size_t> refusedByClass;
    std::uint32_t maxCallerAttempts = 0;
    std::uint64_t callerAttempts = 0;
    std::uint64_t entryAttempts = 0;
};

LoadSummary summarize(const std::vector<LoadRecord> &records, const std::vector<LoadKind> &kinds);

/// The value below which the share `quantile` of `values` lies; zero without values.
Duration quantileOf(std::vector<Duration> values, double quantile);

} // namespace ivyspar::lab
