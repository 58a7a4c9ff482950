#pragma once

#include <string>

#include "coordination/quarantine/suspectmessages.h"
#include "state/result.h"

namespace ivyspar {

/// Payload of a `ControlMessage`. Times are written as ages at `now`.
std::string encodeSuspectMessage(const SuspectMessage &message, TimePoint now);

/// Whether the payload is one of these, good or bad.
bool isSuspectMessage(const std::string &payload);

/// `NotFound` for a payload that belongs to another exchange, `InvalidArgument` for a bad one.
RetVal<SuspectMessage> decodeSuspectMessage(const std::string &payload, TimePoint now);

} // namespace ivyspar
