#pragma once

#include <cstdint>
#include <string>

#include "standins/history/historychecks.h"

namespace ivyspar::lab {

struct HistoryRunOptions
{
    std::string binary;
    std::string labBinary;
    std::uint64_t seed = 1;
    /// Sends bookings without their keys: the check must then find second runs.
    bool isWithoutKeys = false;
};

struct HistoryRunResult
{
    std::string faults;
    std::size_t actions = 0;
    std::size_t attempts = 0;
    std::size_t starts = 0;
    /// Also says when the deployment did not start, or did not serve after the last fault.
    Violations violations;
};

/// One deployment of three daemons under load, with the faults of one seed, and all checks.
HistoryRunResult runHistory(const HistoryRunOptions &options);

/// `ivyspar-lab histories --seeds=N --first=S [--binary=FILE] [--lab=FILE]`: a line for each seed;
/// exits with 1 when a check failed.
int runHistories(int argc, char **argv);

} // namespace ivyspar::lab
