#pragma once

#include <string>

#include "coordination/configuration/iconfigurationstatemachine.h"
#include "state/result.h"

namespace ivyspar {

/// Limit on inventory and rules together. An inventory of 1000 servers takes about 100 kB.
constexpr std::size_t MAX_CONFIGURATION_BYTES = 512 * 1024;
constexpr std::size_t MAX_CHANGE_ID_BYTES = 128;
/// Limit on an encoded record.
constexpr std::size_t MAX_CONFIGURATION_RECORD_BYTES = MAX_CONFIGURATION_BYTES + 4096;

/// `InvalidArgument` if the texts or the change id exceed their limits.
RetVal<std::string> encodeConfigurationRecord(const ConfigurationRecord &record);

/// `InvalidArgument` for anything that is not a record of a known kind. Unknown fields are ignored.
/// A record of an unknown kind must never change the version: daemons of different releases would
/// otherwise accept different configurations.
RetVal<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes);

} // namespace ivyspar
