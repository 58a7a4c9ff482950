#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "app/ilog.h"
#include "state/idecisionlog.h"

namespace ivyspar {

/// Longer lines are replaced by one that holds only the size of the original.
constexpr std::size_t MAX_LINE_BYTES = 4096;

/// Number of lines suppressed by the log budget, by event name.
using SuppressedCounts = std::map<std::string, std::size_t>;

/// The fields that all lines of a daemon share.
struct LineOrigin
{
    DaemonId daemon;
    std::chrono::system_clock::time_point time;
};

/// One JSON object without line breaks.
std::string toLine(const LineOrigin &origin, const Decision &decision);
std::string toLine(const LineOrigin &origin, LogLevel level, const std::string &text);
std::string toLine(const LineOrigin &origin, const SuppressedCounts &suppressed);

} // namespace ivyspar
