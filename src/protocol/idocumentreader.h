#pragma once

#include <string>

#include "state/configuration.h"
#include "state/result.h"

namespace ivyspar {

/// Reads a configuration that is one document, including its version.
class IDocumentReader
{
public:
    virtual ~IDocumentReader() = default;

    /// `InvalidArgument` with a one-line description for an invalid document.
    virtual RetVal<ConfigurationPtr> read(const std::string &document) const = 0;
    /// The document with salted hashes in place of keys, for other daemons, which read the same
    /// configuration from it. The document must be valid.
    virtual std::string withoutSecrets(const std::string &document) const = 0;
};

} // namespace ivyspar
