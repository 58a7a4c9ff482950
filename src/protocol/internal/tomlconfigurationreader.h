#pragma once

#include "protocol/iconfigurationreader.h"

namespace ivyspar {

class TomlConfigurationReader : public IConfigurationReader
{
public:
    ReadConfiguration read(const ConfigurationText &text, const std::string &inventoryFile,
                           const std::string &rulesFile,
                           ConfigurationVersion version) const override;
};

} // namespace ivyspar
