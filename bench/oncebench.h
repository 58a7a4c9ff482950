#pragma once

namespace ivyspar::lab {

/// Measures at-most-once claims over a fake log under a fake clock: appends and bytes a second, and
/// the time that a claim adds to a call. The log takes 0.5 to 5 ms for an append, and 0.5 to 3 ms
/// for the way back; reads take 0.6 to 4 ms. Prints a JSON line per case.
/// Arguments: threes of daemons, requests a second, and the shortest time between two appends of a
/// daemon in ms; by default several sizes.
int runOnceBench(int argc, char **argv);

} // namespace ivyspar::lab
