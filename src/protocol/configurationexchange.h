#pragma once

#include <string>
#include <variant>

#include "coordination/configuration/iconfigurationstatemachine.h"
#include "state/result.h"

namespace ivyspar {

/// The version that the sender has accepted.
struct ConfigurationOffer
{
    ConfigurationVersion version;
    /// The sender knows the position of its version in the log.
    bool hasPosition = false;
};

/// Requests the version that the receiver has accepted; answered by a `ConfigurationPush`.
struct ConfigurationRequest
{
};

/// The accepted version of the sender with its texts.
struct ConfigurationPush
{
    AcceptedConfiguration accepted;
};

using ConfigurationMessage =
    std::variant<ConfigurationOffer, ConfigurationRequest, ConfigurationPush>;

/// Payload of a `ControlMessage`. `InvalidArgument` if inventory and rules together are longer than
/// `MAX_CONFIGURATION_BYTES`.
RetVal<std::string> encodeConfigurationMessage(const ConfigurationMessage &message);

/// `NotFound` for a payload of another exchange, `InvalidArgument` for a malformed one.
RetVal<ConfigurationMessage> decodeConfigurationMessage(const std::string &payload);

} // namespace ivyspar
