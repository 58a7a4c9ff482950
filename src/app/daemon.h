#pragma once

#include "app/iplatform.h"

namespace ivyspar {

/// `platform` outlives the call. Runs a daemon until SIGTERM or SIGINT and its drain. Returns the
/// exit code: 0 after a planned stop, 1 when it could not start or had to stop.
int runDaemon(const DaemonSettings &settings, const IPlatform &platform);

} // namespace ivyspar
