#include <cstdio>

#include "app/internal/commands/commands.h"
#include "app/internal/commands/operatorclient.h"
#include "app/internal/commands/statustext.h"
#include "app/internal/settings/flags.h"
#include "app/internal/settings/flagset.h"
#include "app/internal/settings/settingvalues.h"

namespace ivyspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const char HELP[] = R"(Usage: ivyspar status [flags]

Queries the status of a daemon and prints it: configuration version, members, upstream, load. Run it
on the daemon's host, as the operator interface listens on loopback by default. Exits with 1 if the
daemon does not respond.

Example:
  ivyspar status --operator=127.0.0.1:7401

Flags:
)";

const FlagSet &statusFlags()
{
    static const FlagSet FLAGS({ "operator", "timeout", "json" });
    return FLAGS;
}

int fail(const Error &error)
{
    std::fprintf(stderr, "ivyspar status: %s\n", error.text.c_str());
    return EXIT_RUNTIME_ERROR;
}

int printStatus(const Endpoint &endpoint, Duration timeout)
{
    const RetVal<std::string> json = fetchFromOperatorEndpoint(endpoint, "/status", timeout);
    if (!json) {
        return fail(json.error());
    }
    if (FLAGS_json) {
        std::puts(json->c_str());
        return 0;
    }
    const RetVal<std::string> text = toStatusText(*json);
    if (!text) {
        return fail(text.error());
    }
    std::fputs(text->c_str(), stdout);
    return 0;
}

} // namespace

int runStatusCommand(const Arguments &arguments)
{
    const ParsedFlags parsed = statusFlags().parse(arguments, processEnvironment);
    if (parsed.isHelpWanted) {
        std::printf("%s%s", HELP, statusFlags().help().c_str());
        return 0;
    }
    std::vector<std::string> errors = parsed.errors;
    for (const std::string &operand : parsed.operands) {
        errors.push_back("unexpected argument \"" + operand + '"');
    }
    SettingValues values(errors);
    const Endpoint endpoint = values.remoteEndpoint("operator", FLAGS_operator);
    const Duration timeout =
        values.duration("timeout", FLAGS_timeout, milliseconds(100), minutes(10));
    return errors.empty() ? printStatus(endpoint, timeout) : reportUsageErrors("status", errors);
}

} // namespace ivyspar
