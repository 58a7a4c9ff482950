#pragma once

#include <string>

#include "standins/log/logcore.h"

namespace ivyspar::lab {

/// Sets the faults that the JSON object names and leaves the others:
/// `down`, `silent` (boolean), `answer_delay_ms`, `effect_delay_ms`, `stale_ms`,
/// `lost_after`, `lost_before` (numbers), `cut_clients` (array of names).
/// `InvalidArgument` on anything else; then nothing is set.
Ret applyFaults(const std::string &json, LogFaults &faults);

} // namespace ivyspar::lab
