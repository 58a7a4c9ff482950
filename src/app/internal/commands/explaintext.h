#pragma once

#include <string>

#include "app/internal/commands/requesthistory.h"

namespace ivyspar {

/// Human-readable course of a request, with the cause of its outcome and notes on missing logs.
std::string toExplanation(const RequestHistory &history);

} // namespace ivyspar
