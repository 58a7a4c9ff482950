#pragma once

#include <string>

#include "coordination/membership/membershipmessages.h"
#include "state/result.h"

namespace ivyspar {

/// CBOR bytes of a message between membership objects: the payload of a control frame.
std::string encodeMembership(const MembershipMessage &message);

/// Fails with `InvalidArgument` on anything malformed, and never throws.
RetVal<MembershipMessage> decodeMembership(const std::string &bytes);

} // namespace ivyspar
