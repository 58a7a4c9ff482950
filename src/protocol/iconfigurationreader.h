#pragma once

#include <string>
#include <vector>

#include "state/configuration.h"

namespace ivyspar {

/// One thing that is wrong in a file.
struct FileProblem
{
    std::string file;
    std::uint32_t line = 0; ///< From 1; 0 when the whole file is meant.
    std::string key; ///< Dotted, such as `service[2].slots`, counted from 1; may be empty.
    std::string problem;
    std::string expected; ///< What would be right.

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
    /// Null when there are problems.
    ConfigurationPtr configuration;
    /// All problems, in order of file and line.
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
