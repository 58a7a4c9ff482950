#pragma once

namespace ivyspar::lab {

/// Runs one of the stand-ins or measurements by its subcommand. Returns the exit code.
int runLab(int argc, char **argv);

} // namespace ivyspar::lab
