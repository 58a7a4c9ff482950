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

/// Failed requests of one cause.
struct FailureGroup
{
    std::string cause;
    std::size_t count = 0;
    /// By second, as the hosts' clocks have it.
    std::map<std::string, std::size_t> seconds;
    /// One of them, to be explained.
    std::string example;
};

/// What callers' requests ended as in one second.
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

    /// The largest first.
    std::vector<FailureGroup> groups() const;
    const std::map<std::string, SecondCount> &seconds() const { return m_seconds; }
    /// Lines that daemons left out: requests among them are in no count.
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

/// The summary for people.
std::string toSummary(const FailureSummary &summary);

} // namespace ivyspar
