#pragma once

#include <thread>

namespace ivyspar::lab {

/// Keeps SIGTERM and SIGINT from ending the process; to be called before threads are started.
void blockStopSignals();
/// Waits for SIGTERM or SIGINT.
void waitForStopSignal();
/// Ends a thread that is in `waitForStopSignal`, and joins it.
void stopWaiting(std::thread &waiter);

} // namespace ivyspar::lab
