#pragma once

namespace ivyspar::lab {

/// Measures publish → in force at the last daemon, with followers, the log stand-in and a network
/// of half a millisecond in one process and thread, and prints a table. Returns the exit code.
/// `--daemons=N` (repeated; 16 and 790 by default), `--changes=N`, `--idle_s=N` for the idle
/// traffic, `--inventory=FILE`, `--rules=FILE`, `--cut` cuts one of four domains from the log,
/// `--outage_s=N` ends with an outage of the log and the reads a second after it.
int runConfigurationBench(int argc, char **argv);

} // namespace ivyspar::lab
