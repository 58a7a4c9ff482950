#include <algorithm>
#include <map>

#include "app/settings.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const std::vector<std::string> MINIMAL{ "--daemon_id=d1", "--domain=sala-a" };

using Variables = std::map<std::string, std::string>;

SettingsResult<DaemonSettings> read(const std::vector<std::string> &extra,
                                    const Variables &variables = {})
{
    std::vector<std::string> arguments = MINIMAL;
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    return readDaemonSettings(arguments, [&](const std::string &name) {
        const auto found = variables.find(name);
        return found == variables.end() ? std::nullopt : std::optional<std::string>(found->second);
    });
}

void checkError(const std::vector<std::string> &extra, const std::string &expected)
{
    const auto result = read(extra);
    CHECK_EQUAL_TEXT(1U, result.errors.size(), expected.c_str());
    STRCMP_CONTAINS(expected.c_str(), result.errors.front().c_str());
}

} // namespace

TEST_GROUP(DaemonSettings){};

TEST(DaemonSettings, DefaultsAreOnLoopback)
{
    const auto result = read({});
    CHECK(result.errors.empty());
    const DaemonSettings &settings = result.settings;
    STRCMP_EQUAL("d1", settings.id.value().c_str());
    STRCMP_EQUAL("127.0.0.1:7400", settings.callerListen.text().c_str());
    CHECK(settings.peerAdvertise == settings.peerListen);
    CHECK(settings.heartbeatTimeout == std::chrono::seconds(3));
    CHECK_EQUAL(4000U, settings.limits.connections);
    CHECK(settings.logLevel == LogLevel::Info);
    CHECK_FALSE(settings.ablations.rank);
}

TEST(DaemonSettings, FlagWinsOverVariableAndVariableOverDefault)
{
    const Variables variables{ { "IVYSPAR_CALLER_LISTEN", "127.0.0.1:1" },
                               { "IVYSPAR_PEER_LISTEN", "127.0.0.1:2" },
                               { "IVYSPAR_MAX_BODY_BYTES", "77" } };
    const auto result = read({ "--caller_listen", "127.0.0.1:9" }, variables);
    CHECK(result.errors.empty());
    CHECK_EQUAL(9, result.settings.callerListen.port);
    CHECK_EQUAL(2, result.settings.peerListen.port);
    CHECK_EQUAL(77U, result.settings.limits.bodyBytes);
    CHECK_EQUAL(7401, result.settings.operatorListen.port);
    CHECK_EQUAL_TEXT(7403, read({}).settings.peerListen.port, "values stay from an earlier read");
}

TEST(DaemonSettings, WrongVariableIsAnError)
{
    const auto result = read({}, { { "IVYSPAR_MAX_BODY_BYTES", "many" } });
    CHECK_EQUAL(1U, result.errors.size());
    STRCMP_CONTAINS("IVYSPAR_MAX_BODY_BYTES", result.errors.front().c_str());
}

TEST(DaemonSettings, ReadsListsAndSwitches)
{
    const auto result =
        read({ "--seeds=10.0.0.1:1,[fd00::1]:2", "--log-endpoints=10.0.0.9:99",
               "--ablate=rank,retry-tokens", "--allow_remote_operator",
               "--operator_listen=0.0.0.0:7401", "--drain_timeout=2min", "--log_level=warn" });
    CHECK(result.errors.empty());
    CHECK_EQUAL(2U, result.settings.seeds.size());
    CHECK_EQUAL(1U, result.settings.logEndpoints.size());
    CHECK(result.settings.ablations.rank);
    CHECK(result.settings.ablations.retryTokens);
    CHECK_FALSE(result.settings.ablations.budget);
    CHECK(result.settings.drainTimeout == std::chrono::minutes(2));
    CHECK(result.settings.logLevel == LogLevel::Warn);
}

TEST(DaemonSettings, SwitchCanBeNegated)
{
    const auto result = read({ "--noallow_remote_operator" },
                             { { "IVYSPAR_ALLOW_REMOTE_OPERATOR", "true" },
                               { "IVYSPAR_OPERATOR_LISTEN", "10.0.0.1:7401" } });
    CHECK_EQUAL(1U, result.errors.size());
    STRCMP_CONTAINS("is not a loopback address", result.errors.front().c_str());
}

TEST(DaemonSettings, EachErrorIsReportedOnItsOwnLine)
{
    checkError({ "--no_such_flag=1" }, "unknown flag --no_such_flag=1");
    checkError({ "--seeds" }, "--seeds (IVYSPAR_SEEDS): the value is missing");
    checkError({ "--region=r", "--region=r" }, "--region (IVYSPAR_REGION): given more than once");
    checkError({ "stray" }, "unexpected argument \"stray\"");
    checkError({ "--caller_listen=localhost:80" }, "\"localhost\" is not an IP number");
    checkError({ "--peer_listen=10.0.0.1" }, "expected IP:PORT");
    checkError({ "--seeds=10.0.0.1:0" }, "port 0");
    checkError({ "--seeds=10.0.0.1:1,10.0.0.1:1" }, "listed more than once");
    checkError({ "--seeds=10.0.0.1:1," }, "expected IP:PORT");
    checkError({ "--log_endpoints=0.0.0.0:1" }, "stands for all addresses");
    checkError({ "--seeds=127.0.0.1:7403" }, "is this daemon itself");
    checkError({ "--peer_listen=0.0.0.0:7403" }, "--peer_advertise");
    checkError({ "--operator_listen=10.0.0.1:7401" }, "--allow_remote_operator allows it");
    checkError({ "--upstream_listen=10.0.0.1:7402" }, "--allow_remote_upstream allows it");
    checkError({ "--peer_listen=127.0.0.1:7400" }, "also taken by --caller_listen");
    checkError({ "--caller_listen=0.0.0.0:7401" }, "also taken by --caller_listen");
    checkError({ "--max_connections=0" }, "0 is not between 1 and 100000");
    checkError({ "--max_in_flight=0" }, "0 is not between");
    checkError({ "--max_pipelined_requests=0" }, "0 is not between 1 and 100");
    checkError({ "--max_pipelined_requests=101" }, "101 is not between 1 and 100");
    checkError({ "--max_body_bytes=0" }, "0 is not between");
    checkError({ "--max_header_bytes=0" }, "0 is not between");
    checkError({ "--max_connections=-1" }, "\"-1\" is not a whole number");
    checkError({ "--heartbeat_timeout=3" }, "not a duration with a unit");
    checkError({ "--heartbeat_timeout=2min" }, "not within 100ms to 1min");
    checkError({ "--log_level=loud" }, "\"loud\" is not one of");
    checkError({ "--ablate=gravity" }, "\"gravity\" is not a policy");
    checkError({ "--region=two words" }, "is not a name");
    checkError({ "--inventory=a.toml" }, "--rules (IVYSPAR_RULES): must be set too");
    checkError({ "--rules=a.toml" }, "--inventory (IVYSPAR_INVENTORY): must be set too");
}

TEST(DaemonSettings, AllErrorsAreReportedAtOnce)
{
    const auto result = readDaemonSettings({ "--typo", "--seeds=x", "--max_in_flight=0" },
                                           [](const std::string &) { return std::nullopt; });
    CHECK_EQUAL(5U, result.errors.size()); // The identity is missing as well.
}

TEST(DaemonSettings, PortZeroMayRepeat)
{
    CHECK(read({ "--caller_listen=127.0.0.1:0", "--operator_listen=127.0.0.1:0",
                 "--upstream_listen=127.0.0.1:0", "--peer_listen=127.0.0.1:0" })
              .errors.empty());
}
