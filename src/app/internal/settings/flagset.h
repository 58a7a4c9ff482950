#pragma once

#include <string>
#include <vector>

#include "app/settings.h"

namespace ivyspar {

/// Result of parsing a command line, apart from the values of its flags.
struct ParsedFlags
{
    bool isHelpWanted = false;
    std::vector<std::string> operands;
    std::vector<std::string> errors;
};

/// The flags of one subcommand. gflags has a single list of flags for the whole program and exits
/// at the first error. This class uses the typed values of gflags, but accepts only the flags of
/// one subcommand, reads their environment variables and collects all errors.
class FlagSet
{
public:
    /// `names` are flags defined with gflags, in the order of the help text.
    explicit FlagSet(std::vector<std::string> names);

    /// Sets each flag from `arguments`, else from its environment variable, else to its default.
    ParsedFlags parse(const std::vector<std::string> &arguments,
                      const EnvironmentLookup &environment) const;
    /// A paragraph per flag with its environment variable, default and description.
    std::string help() const;

    /// The environment variable of a flag: `IVYSPAR_PEER_LISTEN` for `peer_listen`.
    static std::string variableOf(const std::string &flag);
    /// The flag and its environment variable, as shown in error messages.
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
