#pragma once

#include <cstdint>
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

/// The value of a record in a store. Its times are encoded as ages at `unixMillis`, the Unix time
/// in milliseconds at `now`, so that they can be read by a process with another steady clock.
std::string encodeStoredSuspect(const SuspectRecord &record, TimePoint now,
                                std::uint64_t unixMillis);
/// `InvalidArgument` for a malformed value.
RetVal<SuspectRecord> decodeStoredSuspect(const std::string &value, TimePoint now,
                                          std::uint64_t unixMillis);

} // namespace ivyspar
