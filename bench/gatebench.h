#pragma once

namespace ivyspar::lab {

/// Compares the policies of one gate under fake time and prints a table. Returns the exit code.
/// `--seeds N` sets the number of runs per line (3 by default), `--policy NAME` and
/// `--scenario NAME` choose single lines and tables.
int runGateBench(int argc, char **argv);

} // namespace ivyspar::lab
