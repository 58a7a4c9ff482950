#pragma once

namespace ivyspar::lab {

/// Measures membership with in-process objects under a fake clock: bytes a second and µs a tick per
/// daemon, and the time until all daemons know of a change. Prints a JSON line per case.
/// Arguments: numbers of members; by default 4 16 64 256 790.
int runMembershipBench(int argc, char **argv);

} // namespace ivyspar::lab
