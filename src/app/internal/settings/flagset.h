#pragma once

#include <string>
#include <vector>

#include "app/settings.h"

namespace ivyspar {

/// What a command line held besides the values of its flags.
struct ParsedFlags
{
    bool isHelpWanted = false;
    std::vector<std::string> operands;
    std::vector<std::string> errors;
};

/// The flags of one subcommand. gflags keeps a single list of flags for the whole program and ends
/// the process at the first error; this class keeps its typed values, but accepts only the flags of
/// one subcommand, reads their environment variables and collects all errors.
class FlagSet
{
public:
    /// `names` are flags that are defined with gflags, in the order of the help text.
    explicit FlagSet(std::vector<std::string> names);

    /// Sets all flags: from `arguments`, else from their variable, else to their default.
    ParsedFlags parse(const std::vector<std::string> &arguments,
                      const EnvironmentLookup &environment) const;
    /// A paragraph for each flag with its variable, default and meaning.
    std::string help() const;

    /// `IVYSPAR_PEER_LISTEN` for `peer_listen`.
    static std::string variableOf(const std::string &flag);
    /// How errors name a flag and its variable.
    static std::string label(const std::string &flag);

private:
    struct Cursor;

    bool has(const std::string &name) const;
    void parseFlag(Cursor &cursor, ParsedFlags &parsed) const;
    void readVariables(const std::vector<std::string> &given, const EnvironmentLookup &environment,
                       ParsedFlags &parsed) const;

    std::vector<std::string> m_names;
};

} // namespace ivyspar
