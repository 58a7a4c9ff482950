#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

#include "app/internal/commands/historyevent.h"

namespace ivyspar {

/// A log file that was read.
struct HistorySource
{
    std::string name;
    std::size_t lines = 0;
    /// The last line is incomplete: the log is truncated and may lack later events.
    bool isCut = false;
};

/// Collects from the logs of several daemons their decisions about one request and the state
/// changes that they saw around it. The logs are read twice: first with `findRoot`, then with
/// `collect`.
class RequestHistory
{
public:
    /// `id` is the id of a caller's request, or of a call made by an upstream for one.
    explicit RequestHistory(std::string id);

    /// Finds the request to which the call `id` belongs.
    void findRoot(std::istream &log);
    void collect(const std::string &name, std::istream &log);

    const std::string &root() const { return m_root; }
    /// Ordered by time, according to the hosts' clocks.
    const std::vector<HistoryEvent> &events() const { return m_events; }
    /// Changes of configuration, membership, quarantine, upstreams, dependencies or lifecycle, from
    /// one second before the request to one second after it.
    std::vector<HistoryEvent> stateChanges() const;
    /// Reports of suppressed lines in the same period.
    std::vector<HistoryEvent> suppressions() const;
    const std::vector<HistorySource> &sources() const { return m_sources; }

private:
    std::vector<HistoryEvent> aroundRequest(const std::vector<HistoryEvent> &events) const;

    std::string m_id;
    std::string m_root;
    std::vector<HistoryEvent> m_events;
    std::vector<HistoryEvent> m_stateChanges;
    std::vector<HistoryEvent> m_suppressions;
    std::vector<HistorySource> m_sources;
};

} // namespace ivyspar
