#include <cstdio>

#include "app/internal/commands/commands.h"
#include "app/internal/settings/publishsettings.h"
#include "app/publish.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar publish --log_endpoints=IP:PORT,... [flags] INVENTORY RULES

Checks both files, appends them to the platform's log as one change, and waits for the verdict. A
change is accepted if the version that it is based on is still the current one: of two changes that
race, one wins and the other is told which version won and what differs. Exits with 0 when the change
was accepted, with 2 when files or flags are wrong, with 3 when another change came first, and with 4
when the log cannot be reached or the verdict could not be found out.

When the verdict could not be found out, repeat the command with the --change_id and --base that it
printed: a change that was made is found again, and it is never made twice.

Example:
  ivyspar publish --log_endpoints=10.0.9.1:9000 --base=7 inventory.toml rules.toml

Flags:
)";

} // namespace

int runPublishCommand(const Arguments &arguments)
{
    const auto result = readPublishSettings(arguments, processEnvironment);
    if (result.isHelpWanted) {
        std::printf("%s%s", HELP, publishFlags().help().c_str());
        return 0;
    }
    if (!result.errors.empty()) {
        return reportUsageErrors("publish", result.errors);
    }
    return runPublish(result.settings);
}

} // namespace ivyspar
