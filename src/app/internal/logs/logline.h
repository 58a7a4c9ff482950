#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "app/ilog.h"
#include "state/idecisionlog.h"

namespace ivyspar {

/// Longer lines are replaced by one that says so.
constexpr std::size_t MAX_LINE_BYTES = 4096;

/// Lines left out for want of budget, by the name of their event.
using SuppressedCounts = std::map<std::string, std::size_t>;

/// What all lines of a daemon have in common.
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
