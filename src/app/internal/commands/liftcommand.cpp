#include <cstdio>

#include "app/internal/commands/commands.h"
#include "app/internal/commands/operatorclient.h"
#include "app/internal/settings/flags.h"
#include "app/internal/settings/flagset.h"
#include "app/internal/settings/settingvalues.h"

namespace ivyspar {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const char HELP[] = R"(Usage: ivyspar lift FINGERPRINT [flags]

Lifts the quarantine of a request: all daemons send it to servers again, until it has crashed three
more of them. `ivyspar status` lists the fingerprints. Exits with 1 if the fingerprint is unknown
to the daemon or the daemon does not respond.

Example:
  ivyspar lift a75317b572d20efb9e5f683d81a3ecbb --operator=127.0.0.1:7401

Flags:
)";

const FlagSet &liftFlags()
{
    static const FlagSet FLAGS({ "operator", "timeout" });
    return FLAGS;
}

bool isFingerprint(const std::string &text)
{
    constexpr std::size_t DIGITS = 32;
    return text.size() == DIGITS && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

int lift(const Endpoint &endpoint, const std::string &fingerprint, Duration timeout)
{
    const RetVal<std::string> answer =
        postToOperatorEndpoint(endpoint, "/quarantine/lift/" + fingerprint, timeout);
    if (!answer) {
        std::fprintf(stderr, "ivyspar lift: %s\n", answer.error().text.c_str());
        return EXIT_RUNTIME_ERROR;
    }
    std::fputs(answer->c_str(), stdout);
    return 0;
}

} // namespace

int runLiftCommand(const Arguments &arguments)
{
    const ParsedFlags parsed = liftFlags().parse(arguments, processEnvironment);
    if (parsed.isHelpWanted) {
        std::printf("%s%s", HELP, liftFlags().help().c_str());
        return 0;
    }
    std::vector<std::string> errors = parsed.errors;
    if (parsed.operands.size() != 1 || !isFingerprint(parsed.operands.front())) {
        errors.emplace_back("one fingerprint of 32 hexadecimal digits is needed");
    }
    SettingValues values(errors);
    const Endpoint endpoint = values.remoteEndpoint("operator", FLAGS_operator);
    const Duration timeout =
        values.duration("timeout", FLAGS_timeout, milliseconds(100), minutes(10));
    return errors.empty() ? lift(endpoint, parsed.operands.front(), timeout)
                          : reportUsageErrors("lift", errors);
}

} // namespace ivyspar
