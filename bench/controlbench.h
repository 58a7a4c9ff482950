#pragma once

namespace ivyspar::lab {

/// `ivyspar-lab control`: what daemons cost when idle, by their number, and what a call costs, by
/// the rate. The runs behind docs/CAPACITY.md.
int runControlBench(int argc, char **argv);

} // namespace ivyspar::lab
