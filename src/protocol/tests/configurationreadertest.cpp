#include <fstream>
#include <sstream>

#include "protocol/configurationreaderfactory.h"
#include "state/durationtext.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const char INVENTORY[] = R"(deployment = "t"
[[domain]]
name = "hall"
region = "r"
[[service]]
name = "book"
slots = 8
connections = 60
[[server]]
name = "book-1"
service = "book"
domain = "hall"
)";

const char RULES[] = R"([[class]]
name = "high"
priority = 90
[[class]]
name = "low"
priority = 10
[[rule]]
name = "put"
service = "book"
method = "POST"
path = "/put"
class = "high"
wait = "2s"
repeat = "once"
key_lifetime = "10min"
[[rule]]
name = "get"
service = "book"
class = "low"
wait = "250ms"
calls = 4
repeat = "idempotent"
hedge = true
)";

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(IVYSPAR_SOURCE_DIR + ("/examples/" + path)).rdbuf();
    return text.str();
}

ReadConfiguration read(const std::string &inventory, const std::string &rules)
{
    return makeConfigurationReader()->read({ inventory, rules }, "i.toml", "r.toml",
                                           ConfigurationVersion(1));
}

std::string allProblems(const ReadConfiguration &result)
{
    std::string text;
    for (const FileProblem &problem : result.problems) {
        text += problem.text() + '\n';
    }
    return text;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    CHECK_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

void checkOne(const ReadConfiguration &result, const std::string &expected)
{
    STRCMP_CONTAINS(expected.c_str(), allProblems(result).c_str());
    CHECK_EQUAL_TEXT(1U, result.problems.size(), allProblems(result).c_str());
    CHECK(result.configuration == nullptr);
}

void checkInventory(const char *from, const char *to, const std::string &expected)
{
    checkOne(read(replaced(INVENTORY, from, to), RULES), "i.toml:" + expected);
}

void checkRules(const char *from, const char *to, const std::string &expected)
{
    checkOne(read(INVENTORY, replaced(RULES, from, to)), "r.toml:" + expected);
}

} // namespace

TEST_GROUP(ConfigurationReader){};

TEST(ConfigurationReader, ReadsAllValuesAndDefaults)
{
    const ReadConfiguration result = read(INVENTORY, RULES);
    STRCMP_EQUAL("", allProblems(result).c_str());
    const Configuration &configuration = *result.configuration;
    CHECK(configuration.version == ConfigurationVersion(1));
    STRCMP_EQUAL("t", configuration.inventory.deployment.c_str());
    STRCMP_EQUAL("r", configuration.inventory.domains[0].region.value().c_str());
    CHECK_EQUAL(8U, configuration.inventory.services[0].slots);
    CHECK_EQUAL(60U, configuration.inventory.services[0].connections);
    STRCMP_EQUAL("hall", configuration.inventory.servers[0].domain.value().c_str());
    const RuleSpec &put = configuration.rules.rules[0];
    CHECK(put.priority == Priority(90));
    CHECK(put.targetLatency == Duration::zero());
    CHECK(put.repetition == Repetition::Once);
    CHECK(put.keyLifetime == std::chrono::minutes(10));
    CHECK(put.attempts == AttemptCount(3));
    CHECK_EQUAL(3U, put.callerAttempts);
    const RuleSpec &get = configuration.rules.rules[1];
    CHECK(get.wait == std::chrono::milliseconds(250));
    CHECK(get.attempts == AttemptCount(12));
    CHECK(get.hedge);
    CHECK(get.method.empty());
}

TEST(ConfigurationReader, ReportsEachProblemOfAnInventory)
{
    checkInventory("slots = 8", "slots = 8\nslot = 9",
                   "8: service[1].slot: unknown key; expected "
                   "one of name slots connections");
    checkInventory("deployment", "deploymnt = \"x\"\ndeployment", "1: deploymnt: unknown key");
    checkInventory("deployment = \"t\"", "", "1: deployment: is missing");
    checkInventory("slots = 8", "", "5: service[1].slots: is missing; expected a whole number");
    checkInventory("slots = 8", "slots = 0", "7: service[1].slots: 0 is out of range");
    checkInventory("slots = 8", "slots = -3", "7: service[1].slots: -3 is out of range");
    checkInventory("slots = 8", "slots = \"8\"", "7: service[1].slots: is not a whole number");
    checkInventory("slots = 8", "slots = 8.5", "7: service[1].slots: is not a whole number");
    checkInventory("connections = 60", "connections = 0", "8: service[1].connections: 0 is out");
    checkInventory("connections = 60", "connections = 7",
                   "8: service[1].connections: 7 connections cannot fill 8 slots");
    checkInventory("service = \"book\"", "service = \"bok\"",
                   "11: server[1].service: \"bok\" is not defined; expected one of book");
    checkInventory("domain = \"hall\"", "domain = \"hal\"",
                   "12: server[1].domain: \"hal\" is not defined; expected one of hall");
    checkInventory("name = \"book-1\"", "name = \"book 1\"", "10: server[1].name: is not a name");
    checkInventory("[[server]]", "[[domain]]\nname = \"hall\"\nregion = \"r\"\n[[server]]",
                   "10: domain[2].name: \"hall\" is also defined in line 3");
    checkInventory("[[server]]",
                   "[[server]]\nname = \"book-1\"\nservice = \"book\"\ndomain = \"hall\"\n"
                   "[[server]]",
                   "14: server[2].name: \"book-1\" is also defined in line 10");
    checkInventory("slots = 8", "slots = = 8", "7: ");
    checkInventory("slots = 8", "slots = 8\nslots = 9", "8: ");
}

TEST(ConfigurationReader, ReportsEachProblemOfRules)
{
    checkRules("wait = \"2s\"", "wait = 2", "13: rule[1].wait: the unit is missing; expected");
    checkRules("wait = \"2s\"", "wait = \"2\"", "13: rule[1].wait: \"2\" is not a duration");
    checkRules("wait = \"2s\"", "wait = \"0s\"", "13: rule[1].wait: \"0s\" is out of range");
    checkRules("wait = \"2s\"", "wait = \"11min\"", "13: rule[1].wait: \"11min\" is out of range");
    checkRules("wait = \"2s\"", "", "7: rule[1].wait: is missing");
    checkRules("class = \"high\"", "class = \"hihg\"",
               "12: rule[1].class: \"hihg\" is not defined by a [[class]]; expected one of high");
    checkRules("service = \"book\"", "service = \"desk\"",
               "9: rule[1].service: \"desk\" is not a service of the inventory; expected one of");
    checkRules("calls = 4", "calls = 4\nattempts = 0", "22: rule[2].attempts: 0 is out of range");
    checkRules("calls = 4", "calls = 4\nattempts = 3",
               "22: rule[2].attempts: 3 attempts are not enough for 4 calls");
    checkRules("calls = 4", "calls = 0", "21: rule[2].calls: 0 is out of range");
    checkRules("calls = 4", "caller_attempts = 0", "21: rule[2].caller_attempts: 0 is out");
    checkRules("repeat = \"idempotent\"", "repeat = \"never\"",
               "23: rule[2].hedge: a hedge runs the request twice");
    checkRules("repeat = \"idempotent\"\nhedge = true", "repeat = \"often\"",
               "22: rule[2].repeat: \"often\" is unknown; expected never, once or idempotent");
    checkRules("hedge = true", "hedge = 1", "23: rule[2].hedge: is not a boolean");
    checkRules("key_lifetime = \"10min\"", "", "7: rule[1].key_lifetime: is missing for repeat");
    checkRules("key_lifetime = \"10min\"", "key_lifetime = \"30s\"",
               "15: rule[1].key_lifetime: \"30s\" is out of range");
    checkRules("key_lifetime = \"10min\"", "key_lifetime = \"11min\"",
               "15: rule[1].key_lifetime: \"11min\" is out of range");
    checkRules("repeat = \"once\"", "repeat = \"never\"",
               "15: rule[1].key_lifetime: no key is remembered");
    checkRules("wait = \"2s\"\nrepeat = \"once\"\nkey_lifetime = \"10min\"",
               "wait = \"2min\"\nrepeat = \"once\"\nkey_lifetime = \"1min\"",
               "15: rule[1].key_lifetime: is shorter than the wait of 2min");
    checkRules("wait = \"2s\"", "wait = \"2s\"\nobjective = \"2001ms\"",
               "14: rule[1].objective: is longer than the wait of 2s; expected at most the wait");
    checkRules("wait = \"2s\"", "wait = \"2s\"\nobjective = \"0s\"",
               "14: rule[1].objective: \"0s\" is out of range");
    checkRules("wait = \"2s\"", "wait = \"2s\"\nobjective = 800",
               "14: rule[1].objective: the unit is missing");
    checkRules("priority = 10", "priority = 90",
               "6: class[2].priority: 90 is also the priority in line 3");
    checkRules("priority = 10", "priority = 101", "6: class[2].priority: 101 is out of range");
    checkRules("name = \"get\"", "name = \"put\"",
               "17: rule[2].name: \"put\" is also defined in line 8");
    checkRules("name = \"get\"", "name = \"get\"\nmethod = \"POST\"\npath = \"/put\"",
               "19: rule[2].path: the rule in line 8 is for the same service, method and path");
    checkRules("method = \"POST\"", "method = \"post\"", "10: rule[1].method: \"post\" is not an");
    checkRules("path = \"/put\"", "path = \"put\"", "11: rule[1].path: is not the beginning");
    checkRules("path = \"/put\"", "path = \"/put?a\"", "11: rule[1].path: is not the beginning");
    checkRules("calls = 4", "call = 4", "21: rule[2].call: unknown key");
    checkRules("[[class]]", "class_default = 1\n[[class]]", "1: class_default: unknown key");
}

TEST(ConfigurationReader, ObjectiveMayBeAsLongAsTheWait)
{
    for (const char *objective : { "1ms", "2s" }) {
        const std::string line = std::string("objective = \"") + objective + '"';
        const auto result =
            read(INVENTORY, replaced(RULES, "wait = \"2s\"", "wait = \"2s\"\n" + line));
        STRCMP_EQUAL("", allProblems(result).c_str());
        CHECK(result.configuration->rules.rules[0].targetLatency == *parseDuration(objective));
    }
}

TEST(ConfigurationReader, ReportsAllProblemsInOrder)
{
    const std::string inventory =
        replaced(replaced(INVENTORY, "slots = 8", "slots = 0"), "domain = \"hall\"", "dom = 1");
    const std::string rules = replaced(RULES, "priority = 10", "priority = 1000");
    const ReadConfiguration result = read(inventory, rules);
    CHECK_EQUAL_TEXT(4U, result.problems.size(), allProblems(result).c_str());
    CHECK_EQUAL(7U, result.problems[0].line);
    CHECK_EQUAL(9U, result.problems[1].line); // domain is missing
    CHECK_EQUAL(12U, result.problems[2].line); // dom is unknown
    STRCMP_EQUAL("r.toml", result.problems[3].file.c_str());
}

TEST(ConfigurationReader, EmptyAndNonTomlFilesAreReported)
{
    CHECK_EQUAL(4U, read("", RULES).problems.size());
    CHECK_EQUAL(2U, read(INVENTORY, "").problems.size());
    checkOne(read(INVENTORY, replaced(RULES, "[[rule]]", "[rule]")), "r.toml:16: ");
    checkOne(read(INVENTORY, std::string(300'000, '#')), "r.toml:0: the file has 300000 bytes");
    STRCMP_CONTAINS("is not a list of tables", allProblems(read(INVENTORY, "class = 3")).c_str());
    STRCMP_CONTAINS("rule[1]: is not a table", allProblems(read(INVENTORY, "rule = [1]")).c_str());
    checkOne(read(std::string(1000, '['), RULES), "i.toml:1: ");
}

// The TOML parser's behaviour is undefined for characters outside ASCII in place of white space, so
// the reader must report them first. In comments they are allowed.
TEST(ConfigurationReader, NonAsciiIsAllowedOnlyInComments)
{
    const char *expected = ": a character outside ASCII; expected ASCII, except in comments";
    checkInventory("slots = 8", "slots\u00e9= 8", std::string("7") + expected);
    checkInventory("slots = 8", "slots = \u00e98", std::string("7") + expected);
    checkInventory("\"t\"", "\"\xff\xfe\"", std::string("1") + expected);
    checkRules("calls = 4", "\u3007calls = 4", std::string("21") + expected);
    const auto commented = read(replaced(INVENTORY, "slots = 8", "slots = 8 # \u00e9\xff"), RULES);
    STRCMP_EQUAL("", allProblems(commented).c_str());
}

TEST(ConfigurationReader, ExampleConfigurationsAreValid)
{
    for (const std::string name : { "tallowood", "bottega" }) {
        const ReadConfiguration result =
            read(readFile(name + "/inventory.toml"), readFile(name + "/rules.toml"));
        STRCMP_EQUAL("", allProblems(result).c_str());
        CHECK(result.configuration != nullptr);
        CHECK_EQUAL(4U, result.configuration->inventory.services.size());
    }
}
