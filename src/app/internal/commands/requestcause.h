#pragma once

#include <string>
#include <vector>

#include "app/internal/commands/historyevent.h"

namespace ivyspar {

/// Why a request ended as it did, in one or two sentences for people. `events` are ordered by time.
std::string findCause(const std::vector<HistoryEvent> &events);

/// Whether the event is the end of a caller's request at its entry.
bool isRequestEnd(const HistoryEvent &event);
/// Whether that end is a failure: refused, without a whole answer, or answered with a server error.
bool hasFailed(const HistoryEvent &end);
/// The cause in a few words without figures, the same for all requests that failed alike. The last
/// event is the end.
std::string shortCause(const std::vector<HistoryEvent> &events);

} // namespace ivyspar
