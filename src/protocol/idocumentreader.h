#pragma once

#include <string>

#include "state/configuration.h"
#include "state/result.h"

namespace ivyspar {

/// Reads a configuration that is written as one whole document with its version.
class IDocumentReader
{
public:
    virtual ~IDocumentReader() = default;

    /// Fails with `InvalidArgument` and a line that names what is wrong.
    virtual RetVal<ConfigurationPtr> read(const std::string &document) const = 0;
};

} // namespace ivyspar
