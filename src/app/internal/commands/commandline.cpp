#include "app/commandline.h"

#include <cstdio>

#include "app/internal/commands/commands.h"

namespace ivyspar {

namespace {

struct Command
{
    const char *name;
    int (*run)(const Arguments &arguments);
};

bool isHelpFlag(const std::string &argument)
{
    return argument == "--help" || argument == "-h";
}

int printVersion(const Arguments &arguments)
{
    if (!arguments.empty() && isHelpFlag(arguments.front())) {
        std::puts("Usage: ivyspar version\n\nPrints the version of this program.");
        return 0;
    }
    if (!arguments.empty()) {
        return reportUsageErrors("version", { "unexpected argument \"" + arguments.front() + '"' });
    }
    std::puts("ivyspar " IVYSPAR_VERSION);
    return 0;
}

int runHelp(const Arguments &arguments);

constexpr Command COMMANDS[] = {
    { "daemon", runDaemonCommand },
    { "check", runCheckCommand },
    { "publish", runPublishCommand },
    { "status", runStatusCommand },
    { "explain", runExplainCommand },
    { "lift", runLiftCommand },
    { "key", runKeyCommand },
    { "version", printVersion },
    { "help", runHelp },
    { "--version", printVersion },
    { "--help", runHelp },
    { "-h", runHelp },
};

const char HELP[] = R"(Usage: ivyspar COMMAND [flags] [files]

Overload control for service call graphs: one daemon beside each upstream.

Commands:
  daemon   run the daemon of this host
  check    validate an inventory and its rules
  publish  publish a new version of inventory and rules
  status   show the state of a daemon
  explain  reconstruct the course of a request from decision logs
  lift     lift the quarantine of a request
  key      generate a key for a client account, and its hash for the rules
  version  print the version
  help     print this text, or the help of a command: ivyspar help daemon

Every command lists its flags with --help. Exit codes: 0 success, 1 failure, 2 wrong usage.
)";

const Command *findCommand(const std::string &name)
{
    for (const Command &command : COMMANDS) {
        if (name == command.name) {
            return &command;
        }
    }
    return nullptr;
}

int failUnknownCommand(const std::string &name)
{
    std::fprintf(stderr, "ivyspar: unknown command \"%s\"\n%s", name.c_str(), HELP);
    return EXIT_USAGE_ERROR;
}

int runHelp(const Arguments &arguments)
{
    if (arguments.empty() || isHelpFlag(arguments.front())) {
        std::fputs(HELP, stdout);
        return 0;
    }
    const Command *command = findCommand(arguments.front());
    if (!command) {
        return failUnknownCommand(arguments.front());
    }
    return command->run({ "--help" });
}

} // namespace

int reportUsageErrors(const std::string &command, const std::vector<std::string> &errors)
{
    for (const std::string &error : errors) {
        std::fprintf(stderr, "ivyspar %s: %s\n", command.c_str(), error.c_str());
    }
    std::fprintf(stderr, "ivyspar %s: %zu %s; see ivyspar %s --help\n", command.c_str(),
                 errors.size(), errors.size() == 1 ? "error" : "errors", command.c_str());
    return EXIT_USAGE_ERROR;
}

int runCommandLine(int argc, char **argv)
{
    const Arguments arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    if (arguments.empty()) {
        std::fputs(HELP, stderr);
        return EXIT_USAGE_ERROR;
    }
    const Command *command = findCommand(arguments.front());
    if (!command) {
        return failUnknownCommand(arguments.front());
    }
    return command->run(Arguments(arguments.begin() + 1, arguments.end()));
}

} // namespace ivyspar
