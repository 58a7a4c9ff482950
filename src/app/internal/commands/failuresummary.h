#pragma once

#include <cstddef>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "app/internal/commands/historyevent.h"

namespace ivyspar {

/// Failed requests with the same cause.
struct FailureGroup
{
    std::string cause;
    std::size_t count = 0;
    /// Requests by second, according to the hosts' clocks.
    std::map<std::string, std::size_t> seconds;
    /// Id of one of the requests, for `ivyspar explain`.
    std::string example;
};

/// Requests of callers that ended in one second, and how many of them failed.
struct SecondCount
{
    std::size_t ended = 0;
    std::size_t failed = 0;
};

/// Groups the failed requests of callers in the logs of several daemons by their cause. The logs
/// are read twice: first with `findFailed`, then with `collect`.
class FailureSummary
{
public:
    void findFailed(std::istream &log);
    void collect(std::istream &log);

    /// Ordered by size, the largest first.
    std::vector<FailureGroup> groups() const;
    const std::map<std::string, SecondCount> &seconds() const { return m_seconds; }
    /// Lines that daemons suppressed: requests ending in them are not counted.
    std::size_t suppressed() const { return m_suppressed; }

private:
    struct Failure
    {
        HistoryEvent end;
        std::vector<HistoryEvent> events;
    };

    std::unordered_map<std::string, Failure> m_failed;
    std::map<std::string, SecondCount> m_seconds;
    std::size_t m_suppressed = 0;
};

/// Human-readable summary.
std::string toSummary(const FailureSummary &summary);

} // namespace ivyspar
