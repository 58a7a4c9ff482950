#pragma once

namespace ivyspar::lab {

/// Measures the transport on loopback beside a bare blocking TCP echo: latency and processor time
/// of a call, idle cost, memory of a connection and of a link. Prints one line a measurement.
/// `argv[1]` may give the seconds for each (4). Returns the exit code.
int runTransportBench(int argc, char **argv);

} // namespace ivyspar::lab
