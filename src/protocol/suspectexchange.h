#pragma once

#include <string>

#include "coordination/quarantine/suspectmessages.h"
#include "state/result.h"

namespace ivyspar {

/// Payload of a `ControlMessage`. Times are encoded as ages at `now`, as the clocks of sender and
/// receiver differ.
std::string encodeSuspectMessage(const SuspectMessage &message, TimePoint now);

/// Whether the payload belongs to this exchange; it may still be malformed.
bool isSuspectMessage(const std::string &payload);

/// `NotFound` for a payload of another exchange, `InvalidArgument` for a malformed one.
RetVal<SuspectMessage> decodeSuspectMessage(const std::string &payload, TimePoint now);

} // namespace ivyspar
