#pragma once

#include <string>

#include "app/internal/commands/requesthistory.h"

namespace ivyspar {

/// The course of a request for people, with its cause and what the logs lack.
std::string toExplanation(const RequestHistory &history);

} // namespace ivyspar
