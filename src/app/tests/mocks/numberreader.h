#pragma once

#include <cstdlib>

#include "protocol/idocumentreader.h"

namespace ivyspar {

/// Reads documents that consist only of their version number.
class NumberReader : public IDocumentReader
{
public:
    std::string withoutSecrets(const std::string &document) const override { return document; }
    RetVal<ConfigurationPtr> read(const std::string &document) const override
    {
        constexpr int DECIMAL = 10;
        const std::uint64_t version = std::strtoull(document.c_str(), nullptr, DECIMAL);
        if (version == 0) {
            return makeError(ErrorCode::InvalidArgument, "not a number");
        }
        const boost::intrusive_ptr<Configuration> read(new Configuration);
        read->version = ConfigurationVersion(version);
        return ConfigurationPtr(read);
    }
};

} // namespace ivyspar
