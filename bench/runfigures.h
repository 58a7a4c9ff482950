#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/experiment.h"

namespace ivyspar::lab {

/// Work that the stand-in upstreams started, by request token.
using ExecutionCounts = std::map<std::string, std::uint32_t>;

/// The figures of one run, as `tools/bench --json` writes them; docs/OVERLOAD.md defines each.
struct RunFigures
{
    std::string experiment;
    std::string policy;
    std::uint64_t seed = 0;
    /// Requests a second that were due while the trigger lasted.
    double offered = 0;
    /// Requests a second, of the mix that completed, that the bottleneck could complete meanwhile.
    double capacity = 0;
    /// Requests a second that completed meanwhile.
    double goodput = 0;
    /// Bottleneck time of completed requests over what there was of it, or was asked for if less.
    double goodputShare = 0;
    std::optional<double> recoverySeconds;
    double attemptsPerRequest = 0;
    std::uint32_t maxAttempts = 0;
    double wastedShare = 0;
    std::map<std::string, std::uint32_t> completedByClass;
    std::map<std::string, std::uint32_t> refusedByClass;
    std::map<std::string, double> p99MsByClass;
    std::map<std::string, double> quietP99MsByClass;
    /// Completed share of the requests due in each quarter of a second.
    std::vector<double> completedOverTime;
};

RunFigures computeFigures(const Experiment &experiment, const CallGraph &graph,
                          const std::vector<LoadKind> &kinds, const RunTimes &times,
                          const std::vector<LoadRecord> &records,
                          const ExecutionCounts &executions);

std::string toJson(const std::vector<RunFigures> &runs);

/// A line of characters from ` ` (none) to `#` (all), a quarter of a second each.
std::string toChart(const RunFigures &run, const RunTimes &times);

} // namespace ivyspar::lab
