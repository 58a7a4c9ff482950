#pragma once

#include <string>
#include <vector>

namespace ivyspar {

using Arguments = std::vector<std::string>;

constexpr int EXIT_RUNTIME_ERROR = 1;
constexpr int EXIT_USAGE_ERROR = 2;

/// The subcommands. Each takes the arguments after its name and returns the exit code.
int runDaemonCommand(const Arguments &arguments);
int runCheckCommand(const Arguments &arguments);
int runPublishCommand(const Arguments &arguments);
int runStatusCommand(const Arguments &arguments);
int runExplainCommand(const Arguments &arguments);
int runKeyCommand(const Arguments &arguments);
int runLiftCommand(const Arguments &arguments);

/// Prints each error on a line of its own, then a hint to `--help`. Returns
/// `EXIT_USAGE_ERROR`.
int reportUsageErrors(const std::string &command, const std::vector<std::string> &errors);

} // namespace ivyspar
