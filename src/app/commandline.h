#pragma once

namespace ivyspar {

/// Runs the program with its subcommand. Returns the exit code: 0 on success, 1 on a failure at
/// run time, 2 on wrong usage or settings.
int runCommandLine(int argc, char **argv);

} // namespace ivyspar
