#pragma once

#include "protocol/iconfigurationreader.h"

namespace ivyspar {

/// Accepts any texts, except an inventory that starts with `unreadable`.
class MockConfigurationReader : public IConfigurationReader
{
public:
    ReadConfiguration read(const ConfigurationText &text, const std::string &inventoryFile,
                           const std::string & /*rulesFile*/,
                           ConfigurationVersion version) const override
    {
        if (text.inventory.rfind("unreadable", 0) == 0) {
            return { nullptr, { { inventoryFile, 1, "key", "is not known", "a known key" } } };
        }
        auto *configuration = new Configuration;
        configuration->version = version;
        configuration->inventory.deployment = text.inventory;
        return { ConfigurationPtr(configuration), {} };
    }
};

} // namespace ivyspar
