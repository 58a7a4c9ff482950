#include <array>
#include <cstdio>
#include <fstream>
#include <string>

#include <sys/wait.h>

#include <CppUTest/TestHarness.h>

namespace {

const std::string EXAMPLES = IVYSPAR_SOURCE_DIR "/examples/";
const std::string TALLOWOOD =
    EXAMPLES + "tallowood/inventory.toml " + EXAMPLES + "tallowood/rules.toml";

struct CommandResult
{
    int exitCode = -1;
    /// Standard output and standard error.
    std::string output;
};

CommandResult runBinary(const std::string &arguments, const std::string &environment = "")
{
    const std::string command =
        environment + " " IVYSPAR_BINARY " " + arguments + " 2>&1 </dev/null";
    CommandResult result;
    std::FILE *pipe = popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    std::size_t size = 0;
    while ((size = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
        result.output.append(buffer.data(), size);
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

/// Number, from 1, of the first line of the example file that equals `text`.
std::string lineNumberOf(const std::string &file, const std::string &text)
{
    std::ifstream stream(EXAMPLES + file);
    std::string line;
    int number = 1;
    while (std::getline(stream, line) && line != text) {
        ++number;
    }
    return std::to_string(number);
}

void checkResult(const CommandResult &result, int exitCode, const std::string &expected)
{
    CHECK_EQUAL_TEXT(exitCode, result.exitCode, result.output.c_str());
    STRCMP_CONTAINS(expected.c_str(), result.output.c_str());
}

} // namespace

TEST_GROUP(CommandLine){};

TEST(CommandLine, EveryCommandHasHelp)
{
    checkResult(runBinary("--help"), 0, "Usage: ivyspar COMMAND");
    checkResult(runBinary("help"), 0, "Usage: ivyspar COMMAND");
    for (const std::string command :
         { "daemon", "check", "publish", "status", "explain", "lift", "version" }) {
        checkResult(runBinary(command + " --help"), 0, "Usage: ivyspar " + command);
        checkResult(runBinary("help " + command), 0, "Usage: ivyspar " + command);
    }
}

TEST(CommandLine, HelpListsOnlyTheFlagsOfTheCommand)
{
    STRCMP_CONTAINS("--peer_listen  (IVYSPAR_PEER_LISTEN, default: 127.0.0.1:7403)",
                    runBinary("daemon --help").output.c_str());
    CHECK(runBinary("check --help").output.find("peer_listen") == std::string::npos);
    CHECK(runBinary("status --help").output.find("log_endpoints") == std::string::npos);
}

TEST(CommandLine, InvalidCommandsAreUsageErrors)
{
    checkResult(runBinary(""), 2, "Usage: ivyspar COMMAND");
    checkResult(runBinary("deamon"), 2, "unknown command \"deamon\"");
    checkResult(runBinary("help deamon"), 2, "unknown command");
    checkResult(runBinary("help ''"), 2, "unknown command");
    checkResult(runBinary("version now"), 2, "unexpected argument \"now\"");
    checkResult(runBinary("version"), 0, "ivyspar 0.");
}

TEST(CommandLine, LiftTakesOneFingerprint)
{
    checkResult(runBinary("lift"), 2, "one fingerprint of 32 hexadecimal digits is needed");
    checkResult(runBinary("lift 4F00"), 2, "one fingerprint of 32 hexadecimal digits is needed");
}

TEST(CommandLine, CheckPrintsASummary)
{
    checkResult(runBinary("check " + TALLOWOOD), 0,
                "tallowood: 4 failure domains, 4 services, 16 servers, 6 classes, 10 rules: no "
                "problems");
    checkResult(runBinary("check " + EXAMPLES + "bottega/inventory.toml " + EXAMPLES
                          + "bottega/rules.toml"),
                0, "bottega: 3 failure domains, 4 services, 14 servers");
}

TEST(CommandLine, CheckReportsEveryProblemWithItsLocation)
{
    // The rules of one deployment refer to services that the inventory of the other does not have.
    const CommandResult result = runBinary("check " + EXAMPLES + "bottega/inventory.toml "
                                           + EXAMPLES + "tallowood/rules.toml");
    checkResult(result, 2,
                "tallowood/rules.toml:"
                    + lineNumberOf("tallowood/rules.toml", "service = \"spoilage-book\"")
                    + ": rule[1].service: \"spoilage-book\" is not a service of the "
                      "inventory; expected one of cassa catalogo magazzino scheda");
    STRCMP_CONTAINS("rule[10].service: \"prep-planner\"", result.output.c_str());
    STRCMP_CONTAINS("ivyspar check: 10 errors", result.output.c_str());
}

TEST(CommandLine, CheckReportsUnreadableFiles)
{
    checkResult(runBinary("check"), 2, "expected two files: INVENTORY RULES");
    checkResult(runBinary("check /none/a.toml /none/b.toml"), 2,
                "/none/b.toml: No such file or directory");
    checkResult(runBinary("check / /"), 2, "/: Is a directory");
    checkResult(runBinary("check /dev/zero /dev/zero"), 2, "has more than 1048576 bytes");
}

TEST(CommandLine, DaemonRejectsInvalidSettingsBeforeItStarts)
{
    const CommandResult result = runBinary("daemon --typo --seeds=host:1 --max_in_flight=0");
    checkResult(result, 2, "unknown flag --typo");
    STRCMP_CONTAINS("--daemon_id (IVYSPAR_DAEMON_ID): must be set", result.output.c_str());
    STRCMP_CONTAINS("\"host\" is not an IP number", result.output.c_str());
    STRCMP_CONTAINS("--max_in_flight (IVYSPAR_MAX_IN_FLIGHT): 0 is not", result.output.c_str());
    STRCMP_CONTAINS("ivyspar daemon: 5 errors", result.output.c_str());
}

TEST(CommandLine, EnvironmentVariablesSetFlags)
{
    checkResult(runBinary("daemon --domain=d --daemon_id=d1", "IVYSPAR_SEEDS=host:1"), 2,
                "--seeds (IVYSPAR_SEEDS): \"host\" is not an IP number");
    const CommandResult result =
        runBinary("daemon --domain=d --daemon_id=d1 --seeds=10.0.0.1:0", "IVYSPAR_SEEDS=host:1");
    checkResult(result, 2, "port 0 in \"10.0.0.1:0\"");
    CHECK(result.output.find("host") == std::string::npos);
}

TEST(CommandLine, DaemonRejectsFilesThatContradictItsSettings)
{
    const std::string files = " --inventory=" + EXAMPLES
        + "bottega/inventory.toml --rules=" + EXAMPLES + "bottega/rules.toml";
    checkResult(runBinary("daemon --daemon_id=d1 --domain=fortitude-hall" + files), 2,
                "\"fortitude-hall\" is not a failure domain of ");
    checkResult(runBinary("daemon --daemon_id=d1 --domain=sala-a --region=qld-south" + files), 2,
                "where the domain is in \"milano\"");
}

TEST(CommandLine, PublishRejectsInvalidInputBeforeItConnects)
{
    checkResult(runBinary("publish --log_endpoints=127.0.0.1:1 /none/a.toml /none/b.toml"), 2,
                "/none/a.toml: No such file");
    checkResult(runBinary("publish " + TALLOWOOD), 2,
                "--log_endpoints (IVYSPAR_LOG_ENDPOINTS): must be");
    checkResult(runBinary("publish --log_endpoints=127.0.0.1:1 --base=latest " + TALLOWOOD), 2,
                "\"latest\" is neither \"current\" nor the number of a version");
}

TEST(CommandLine, StatusFailsWhenNoDaemonAnswers)
{
    // Port 1 is privileged, so nothing is expected to listen there on a test machine.
    checkResult(runBinary("status --operator=127.0.0.1:1"), 1, "127.0.0.1:1: Connection refused");
    checkResult(runBinary("status --operator=localhost:1"), 2, "\"localhost\" is not an IP number");
}
