#pragma once

#include <string>
#include <vector>

#include "app/internal/commands/requesthistory.h"

namespace ivyspar {

/// Why a request ended as it did, in one or two sentences for people. `events` are ordered by time.
std::string findCause(const std::vector<HistoryEvent> &events);

} // namespace ivyspar
