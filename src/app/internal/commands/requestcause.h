#pragma once

#include <string>
#include <vector>

#include "app/internal/commands/historyevent.h"

namespace ivyspar {

/// Human-readable cause of a request's outcome in one or two sentences. `events` are ordered by
/// time.
std::string findCause(const std::vector<HistoryEvent> &events);

/// Whether the event is the end of a caller's request at its entry daemon.
bool isRequestEnd(const HistoryEvent &event);
/// Whether such an end is a failure: refused, without a complete response, or answered with a
/// server error.
bool hasFailed(const HistoryEvent &end);
/// The cause in a few words without figures, identical for requests that failed in the same way.
/// The last event must be the end.
std::string shortCause(const std::vector<HistoryEvent> &events);

} // namespace ivyspar
