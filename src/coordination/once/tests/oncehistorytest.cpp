// Random histories of several daemons over one log, checked afterwards.
#include "coordination/once/tests/mocks/oncefabric.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NODES = 4;
constexpr std::size_t KEYS = 6;
constexpr std::uint64_t SEEDS = 200;
constexpr std::uint64_t SABOTAGE_SEEDS = 40;

std::string keyOf(std::uint64_t number)
{
    return "key-" + std::to_string(number);
}

/// One step of a schedule in which anything may go wrong.
void disturb(OnceFabric &fabric)
{
    SeededRandom &random = fabric.random();
    const std::size_t node = random.below(NODES);
    switch (random.below(400)) {
    case 0:
        fabric.crash(node);
        return;
    case 1:
    case 2:
        fabric.freeze(node, Duration(random.below(3'000'000)));
        return;
    case 3:
        fabric.freeze(node, Duration(random.below(60'000'000)));
        return;
    case 4:
        fabric.setOutage(true);
        return;
    case 5:
    case 6:
    case 7:
        fabric.setOutage(false);
        return;
    default:
        return;
    }
}

void runFaults(OnceFabric &fabric)
{
    SeededRandom &random = fabric.random();
    OnceFabric::Faults faults;
    faults.lostAfter = random.below(200);
    faults.lostBefore = random.below(100);
    faults.lostLate = random.below(50);
    faults.readFails = random.below(100);
    faults.staleRead = random.below(300);
    faults.refusedByUpstream = random.below(400);
    faults.answerLost = random.below(200);
    faults.freezeBeforeStart = random.below(60);
    fabric.setFaults(faults);
    for (int step = 0; step < 1500; ++step) {
        disturb(fabric);
        if (random.below(2) == 0) {
            fabric.request(random.below(NODES), keyOf(random.below(KEYS)),
                           Duration(100'000 + random.below(3'000'000)));
        }
        fabric.run(Duration(random.below(200'000)));
    }
}

/// Ends all faults, and the window of what crashed daemons left behind.
void heal(OnceFabric &fabric)
{
    fabric.setFaults({});
    fabric.setOutage(false);
    fabric.run(60s + 2 * OnceFabric::options().window());
}

/// Every daemon serves again: a new key runs at once, and the others name its holder.
void checkLive(OnceFabric &fabric, std::vector<std::string> &found)
{
    for (std::size_t node = 0; node < NODES; ++node) {
        const std::string key = keyOf(node % KEYS);
        const CallId first = fabric.request(node, key, 1s);
        fabric.run(2s);
        const CallId again = fabric.request(node, key, 1s);
        const CallId elsewhere = fabric.request((node + 1) % NODES, key, 1s);
        fabric.run(2s);
        const bool isServed = fabric.call(first).verdict.outcome == Outcome::Answered
            && fabric.call(again).verdict.outcome == Outcome::Answered
            && fabric.call(again).body == fabric.call(first).body
            && fabric.call(elsewhere).verdict.reason == Reason::KeyBusy;
        if (!isServed) {
            std::string text =
                "not served after the faults at daemon " + std::to_string(node) + ':';
            for (const CallId call : { first, again, elsewhere }) {
                const Verdict &verdict = fabric.call(call).verdict;
                text += std::string(" ") + toText(verdict.outcome) + '/' + toText(verdict.reason);
            }
            found.push_back(text);
        }
    }
}

std::vector<std::string> checkSeed(std::uint64_t seed, Sabotage sabotage, std::size_t &executions)
{
    OnceFabric fabric(seed, NODES, sabotage);
    runFaults(fabric);
    heal(fabric);
    std::vector<std::string> found;
    checkLive(fabric, found);
    executions += fabric.executions();
    for (const std::string &violation : fabric.violations()) {
        found.push_back(violation);
    }
    return found;
}

/// True when a history in which a key ran twice is found in one of the first seeds.
bool isFound(Sabotage sabotage)
{
    std::size_t executions = 0;
    for (std::uint64_t seed = 1; seed <= SABOTAGE_SEEDS; ++seed) {
        const auto found = checkSeed(seed, sabotage, executions);
        const bool isTwice = std::any_of(found.begin(), found.end(), [](const std::string &text) {
            return text.find("ran twice") != std::string::npos;
        });
        if (isTwice) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(OnceHistory){};

// Callers repeat payments at several daemons at once, while append answers are lost, the log goes
// down, reads are stale, processes freeze past every timeout and crash. Whatever the order: a key
// runs once within its lifetime, what was called not run did not run, and all serve again after.
TEST(OnceHistory, RandomFaultsBreakNothing)
{
    std::size_t executions = 0;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        const auto found = checkSeed(seed, Sabotage::None, executions);
        const std::string text = found.empty() ? "" : found.front();
        CHECK_TRUE_TEXT(found.empty(), ("seed " + std::to_string(seed) + ": " + text).c_str());
    }
    // Otherwise the schedules would be too harsh to show anything.
    CHECK(executions > SEEDS * 30);
}

// The checks are worth something only if they find a protocol that is broken.
TEST(OnceHistory, GuessingAfterLostAnswersIsFound)
{
    CHECK(isFound(Sabotage::GuessAfterLostAnswer));
}

TEST(OnceHistory, ExecutingWithoutReadingOthersIsFound)
{
    CHECK(isFound(Sabotage::SkipForeignRecords));
}

TEST(OnceHistory, ReleasingForeignClaimsIsFound)
{
    CHECK(isFound(Sabotage::ReleaseForeignClaims));
}

TEST(OnceHistory, ForgettingTooEarlyIsFound)
{
    CHECK(isFound(Sabotage::ForgetTooEarly));
}

TEST(OnceHistory, StartingAfterAFreezeIsFound)
{
    CHECK(isFound(Sabotage::StartAnyway));
}
