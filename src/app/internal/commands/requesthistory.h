#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

#include "app/internal/commands/historyevent.h"

namespace ivyspar {

/// A log that was read.
struct HistorySource
{
    std::string name;
    std::size_t lines = 0;
    /// The last line is not whole: the log was cut, and may lack what happened later.
    bool isCut = false;
};

/// Collects from the logs of several daemons what they decided about one request, and what they
/// came to believe meanwhile. The logs are read twice: first with `findRoot`, then with `collect`.
class RequestHistory
{
public:
    /// `id` is the id of a caller's request, or of a call that an upstream made for one.
    explicit RequestHistory(std::string id);

    /// Finds the request to which a call belongs.
    void findRoot(std::istream &log);
    void collect(const std::string &name, std::istream &log);

    const std::string &root() const { return m_root; }
    /// Ordered by time, as the hosts' clocks have it.
    const std::vector<HistoryEvent> &events() const { return m_events; }
    /// Changes of belief from a second before the request to its end.
    std::vector<HistoryEvent> stateChanges() const;
    /// Lines that daemons left out in the second of the request or the one before it.
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
