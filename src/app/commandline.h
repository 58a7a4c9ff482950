#pragma once

namespace ivyspar {

/// Runs the subcommand named in the arguments. Returns the exit code: 0 on success, 1 on a failure
/// at run time, 2 on wrong usage or settings, and those of `runPublish` for `publish`.
int runCommandLine(int argc, char **argv);

} // namespace ivyspar
