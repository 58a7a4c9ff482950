#pragma once

#include <string>

#include "coordination/accounts/accountmessages.h"
#include "state/result.h"

namespace ivyspar {

/// Payload of a `ControlMessage`. Contains names of accounts, never their keys.
std::string encodeAccountMessage(const AccountMessage &message);
/// Whether the payload belongs to this exchange; it may still be malformed.
bool isAccountMessage(const std::string &payload);
/// `NotFound` for a payload of another exchange, `InvalidArgument` for a malformed one.
RetVal<AccountMessage> decodeAccountMessage(const std::string &payload);

} // namespace ivyspar
