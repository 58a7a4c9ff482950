#pragma once

namespace ivyspar::lab {

/// The log stand-in as a process, until SIGTERM. Options, all of them optional:
/// `--listen=IP:PORT` (port 0 takes a free one), `--ready_file=FILE` gets `{"endpoint":
/// "IP:PORT"}`,
/// `--appends_per_second=N`, `--kept_records=N`, `--kept_ms=N`, `--faults=JSON` (see
/// logfaultscodec.h). Returns the exit code.
int runLogStandin(int argc, char **argv);

} // namespace ivyspar::lab
