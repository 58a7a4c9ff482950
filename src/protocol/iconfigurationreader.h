#pragma once

#include <string>
#include <vector>

#include "state/configuration.h"

namespace ivyspar {

/// One error in a configuration file.
struct FileProblem
{
    std::string file;
    std::uint32_t line = 0; ///< From 1; 0 if the error concerns the whole file.
    std::string key; ///< Dotted key such as `service[2].slots`, indexed from 1; may be empty.
    std::string problem;
    std::string expected; ///< What is valid in its place.

    /// `file:line: key: problem; expected …`
    std::string text() const;
};

struct ConfigurationText
{
    std::string inventory;
    std::string rules;
};

struct ReadConfiguration
{
    /// Null if there are problems.
    ConfigurationPtr configuration;
    /// All problems, ordered by file and line.
    std::vector<FileProblem> problems;
};

/// Reads inventory and rules (TOML). docs/CONFIGURATION.md describes the format.
class IConfigurationReader
{
public:
    virtual ~IConfigurationReader() = default;

    /// `inventoryFile` and `rulesFile` are the names used in problems.
    virtual ReadConfiguration read(const ConfigurationText &text, const std::string &inventoryFile,
                                   const std::string &rulesFile,
                                   ConfigurationVersion version) const = 0;
};

} // namespace ivyspar
