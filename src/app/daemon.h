#pragma once

#include "app/iplatform.h"

namespace ivyspar {

/// Holds the signals that a daemon handles until it does so; their default action would end the
/// process. To be called first in a program that reads settings before `runDaemon`.
void holdSignals();

/// Runs a daemon until SIGTERM or SIGINT, then drains it. `platform` must outlive the call. Returns
/// the exit code: 0 after a planned stop, 1 if it could not start or if calls were still running at
/// the end of the drain.
int runDaemon(const DaemonSettings &settings, const IPlatform &platform);

} // namespace ivyspar
