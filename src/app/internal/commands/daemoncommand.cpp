#include <cstdio>

#include "app/daemon.h"
#include "app/internal/commands/commands.h"
#include "app/internal/settings/daemonsettings.h"
#include "app/iplatform.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar daemon --daemon_id=NAME --domain=NAME [flags]

Runs the daemon of one upstream host, in the foreground, until SIGTERM. The upstream on this host
announces itself at --upstream_listen; callers send their requests to --caller_listen of any daemon.
Inventory and rules come from the platform's log or from peers, or initially from files.

Each flag can also be set by its environment variable; the flag wins. Names are not resolved:
endpoints are IP addresses. If settings are invalid or contradict each other, all errors are listed
and the daemon exits with 2 before it opens a port.

Example, a single daemon:
  ivyspar daemon --daemon_id=d1 --domain=fortitude-hall \
      --inventory=examples/tallowood/inventory.toml --rules=examples/tallowood/rules.toml

Example, on a host:
  ivyspar daemon --daemon_id=weighbridge-1 --domain=fortitude-hall --region=qld-south \
      --caller_listen=10.0.1.5:7400 --peer_listen=10.0.1.5:7403 \
      --log_endpoints=10.0.9.1:9000,10.0.9.2:9000 --seeds=10.0.1.6:7403,10.0.2.5:7403

Flags:
)";

} // namespace

int runDaemonCommand(const Arguments &arguments)
{
    const auto result = readDaemonSettings(arguments, processEnvironment);
    if (result.isHelpWanted) {
        std::printf("%s%s", HELP, daemonFlags().help().c_str());
        return 0;
    }
    if (!result.errors.empty()) {
        return reportUsageErrors("daemon", result.errors);
    }
    return runDaemon(result.settings, *makeOwnPlatform());
}

} // namespace ivyspar
