#pragma once

#include <string>
#include <vector>

#include "protocol/iconfigurationreader.h"

namespace ivyspar {

/// Inventory and rules as they stand in their files.
struct ConfigurationFiles
{
    ConfigurationText text;
    /// Null when there are errors.
    ConfigurationPtr configuration;
    /// One line for each file that could not be read and each problem in the files.
    std::vector<std::string> errors;
};

ConfigurationFiles loadConfiguration(const std::string &inventoryFile,
                                     const std::string &rulesFile);

} // namespace ivyspar
