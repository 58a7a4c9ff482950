#pragma once

#include <string>
#include <variant>

#include "coordination/configuration/iconfigurationstatemachine.h"
#include "state/result.h"

namespace ivyspar {

/// What a daemon holds, sent to a peer.
struct ConfigurationOffer
{
    ConfigurationVersion version;
    /// The sender can vouch for the position of its version in the log.
    bool hasPosition = false;
};

/// Asks for the version that the peer holds.
struct ConfigurationRequest
{
};

/// The version that the sender holds.
struct ConfigurationPush
{
    AcceptedConfiguration accepted;
};

using ConfigurationMessage =
    std::variant<ConfigurationOffer, ConfigurationRequest, ConfigurationPush>;

/// Payload of a `ControlMessage`. `InvalidArgument` when the texts are too long.
RetVal<std::string> encodeConfigurationMessage(const ConfigurationMessage &message);

/// `NotFound` for a payload that belongs to another exchange, `InvalidArgument` for a bad one.
RetVal<ConfigurationMessage> decodeConfigurationMessage(const std::string &payload);

} // namespace ivyspar
