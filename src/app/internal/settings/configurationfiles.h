#pragma once

#include <string>
#include <vector>

#include "protocol/iconfigurationreader.h"

namespace ivyspar {

/// Inventory and rules as read from their files.
struct ConfigurationFiles
{
    ConfigurationText text;
    /// Null if there are errors.
    ConfigurationPtr configuration;
    /// One line per unreadable file and per problem in the files.
    std::vector<std::string> errors;
};

ConfigurationFiles loadConfiguration(const std::string &inventoryFile,
                                     const std::string &rulesFile);

} // namespace ivyspar
