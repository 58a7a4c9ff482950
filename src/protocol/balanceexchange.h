#pragma once

#include <string>

#include "coordination/balance/balancemessages.h"
#include "state/result.h"

namespace ivyspar {

/// Payload of a `ControlMessage`. Rates and capacities are rounded to about one percent.
std::string encodeBalanceMessage(const BalanceMessage &message);
/// Whether the payload belongs to this exchange; it may still be malformed.
bool isBalanceMessage(const std::string &payload);
/// `NotFound` for a payload of another exchange, `InvalidArgument` for a malformed one.
RetVal<BalanceMessage> decodeBalanceMessage(const std::string &payload);

} // namespace ivyspar
