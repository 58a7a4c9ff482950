#pragma once

#include <string>

#include "coordination/membership/membershipmessages.h"
#include "state/result.h"

namespace ivyspar {

/// Encodes a membership message as CBOR: the payload of a `ControlMessage`.
std::string encodeMembership(const MembershipMessage &message);

/// `InvalidArgument` for a malformed message. Never throws.
RetVal<MembershipMessage> decodeMembership(const std::string &bytes);

} // namespace ivyspar
