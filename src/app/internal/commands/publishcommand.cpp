#include <cstdio>

#include "app/internal/commands/commands.h"
#include "app/internal/settings/publishsettings.h"
#include "app/publish.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar publish --log_endpoints=IP:PORT,... [flags] INVENTORY RULES

Checks both files, appends them to the platform's log as one change, and waits for the verdict. A
change is accepted if the version that it is based on is still the current one: of two concurrent
changes, one is accepted, and the other is rejected with the accepted version and the differences.
Exits with 0 if the change was accepted, with 2 if files or flags are invalid, with 3 if another
change was first, and with 4 if the log cannot be reached or the verdict is unknown.

If the verdict is unknown, repeat the command with the --change_id and --base that it printed: a
change that was applied is found again and never applied twice.

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
    for (const std::string &note : result.settings.notes) {
        std::fprintf(stderr, "note: %s\n", note.c_str());
    }
    return runPublish(result.settings);
}

} // namespace ivyspar
