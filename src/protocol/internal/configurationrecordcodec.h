#pragma once

#include <string>

#include "coordination/configuration/iconfigurationstatemachine.h"
#include "state/result.h"

namespace ivyspar {

/// Bound on inventory and rules together. An inventory of 1000 servers takes about 100 kB.
constexpr std::size_t MAX_CONFIGURATION_BYTES = 512 * 1024;
constexpr std::size_t MAX_CHANGE_ID_BYTES = 128;
/// Bound on an encoded record.
constexpr std::size_t MAX_CONFIGURATION_RECORD_BYTES = MAX_CONFIGURATION_BYTES + 4096;

/// `InvalidArgument` when the texts or the change id are longer than the bounds.
RetVal<std::string> encodeConfigurationRecord(const ConfigurationRecord &record);

/// `InvalidArgument` for anything that is not a record. Fields that are not known are ignored.
/// Of a kind that is not known nothing is read: such records must never change the version, or
/// programs of different age would come to different verdicts.
RetVal<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes);

} // namespace ivyspar
