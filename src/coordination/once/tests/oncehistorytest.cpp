// Checks randomly generated histories of several daemons that share one log.
#include "coordination/once/tests/mocks/oncesimulation.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t NODES = 4;
constexpr std::size_t KEYS = 6;
constexpr std::uint64_t SEEDS = 200;
constexpr std::uint64_t DEFECT_SEEDS = 40;

std::string keyOf(std::uint64_t number)
{
    return "key-" + std::to_string(number);
}

/// Injects a random crash, freeze or change of log availability, or nothing.
void injectFault(OnceSimulation &simulation)
{
    SeededRandom &random = simulation.random();
    const std::size_t node = random.below(NODES);
    switch (random.below(400)) {
    case 0:
        simulation.crash(node);
        return;
    case 1:
    case 2:
        simulation.freeze(node, Duration(random.below(3'000'000)));
        return;
    case 3:
        simulation.freeze(node, Duration(random.below(60'000'000)));
        return;
    case 4:
        simulation.setOutage(true);
        return;
    case 5:
    case 6:
    case 7:
        simulation.setOutage(false);
        return;
    default:
        return;
    }
}

void runWithFaults(OnceSimulation &simulation)
{
    SeededRandom &random = simulation.random();
    OnceSimulation::Faults faults;
    faults.appendAnswerLost = random.below(200);
    faults.appendLost = random.below(100);
    faults.appendDelayed = random.below(50);
    faults.readFails = random.below(100);
    faults.staleRead = random.below(300);
    faults.refusedByUpstream = random.below(400);
    faults.answerLost = random.below(200);
    faults.freezeBeforeStart = random.below(60);
    simulation.setFaults(faults);
    for (int step = 0; step < 1500; ++step) {
        injectFault(simulation);
        if (random.below(2) == 0) {
            simulation.request(random.below(NODES), keyOf(random.below(KEYS)),
                               Duration(100'000 + random.below(3'000'000)));
        }
        simulation.run(Duration(random.below(200'000)));
    }
}

/// Ends all faults and waits until the claims of crashed daemons have expired.
void endFaults(OnceSimulation &simulation)
{
    simulation.setFaults({});
    simulation.setOutage(false);
    simulation.run(60s + 2 * OnceSimulation::options().window());
}

/// Every daemon serves again: a new key runs, a repetition gets the same response, and another
/// daemon reports the key as busy.
void checkAvailability(OnceSimulation &simulation, std::vector<std::string> &found)
{
    for (std::size_t node = 0; node < NODES; ++node) {
        const std::string key = keyOf(node % KEYS);
        const CallId first = simulation.request(node, key, 1s);
        simulation.run(2s);
        const CallId again = simulation.request(node, key, 1s);
        const CallId elsewhere = simulation.request((node + 1) % NODES, key, 1s);
        simulation.run(2s);
        const bool isServed = simulation.call(first).verdict.outcome == Outcome::Answered
            && simulation.call(again).verdict.outcome == Outcome::Answered
            && simulation.call(again).body == simulation.call(first).body
            && simulation.call(elsewhere).verdict.reason == Reason::KeyBusy;
        if (!isServed) {
            std::string text =
                "not served after the faults at daemon " + std::to_string(node) + ':';
            for (const CallId call : { first, again, elsewhere }) {
                const Verdict &verdict = simulation.call(call).verdict;
                text += std::string(" ") + toText(verdict.outcome) + '/' + toText(verdict.reason);
            }
            found.push_back(text);
        }
    }
}

std::vector<std::string> checkSeed(std::uint64_t seed, ProtocolDefect defect,
                                   std::size_t &executions)
{
    OnceSimulation simulation(seed, NODES, defect);
    runWithFaults(simulation);
    endFaults(simulation);
    std::vector<std::string> found;
    checkAvailability(simulation, found);
    executions += simulation.executions();
    for (const std::string &violation : simulation.violations()) {
        found.push_back(violation);
    }
    return found;
}

/// True if the history of one of the first seeds contains a key that ran twice.
bool isDefectDetected(ProtocolDefect defect)
{
    std::size_t executions = 0;
    for (std::uint64_t seed = 1; seed <= DEFECT_SEEDS; ++seed) {
        const auto found = checkSeed(seed, defect, executions);
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

// Callers repeat payments at several daemons at the same time, while append answers are lost, the
// log fails, reads are stale, and processes crash or freeze past every timeout. In any order, a key
// runs at most once within its lifetime, a request reported as not run did not run, and all daemons
// serve again afterwards.
TEST(OnceHistory, ExecutesAtMostOnceUnderRandomFaults)
{
    std::size_t executions = 0;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        const auto found = checkSeed(seed, ProtocolDefect::None, executions);
        const std::string text = found.empty() ? "" : found.front();
        CHECK_TRUE_TEXT(found.empty(), ("seed " + std::to_string(seed) + ": " + text).c_str());
    }
    // With fewer executions the schedules would be too faulty to prove anything.
    CHECK(executions > SEEDS * 30);
}

// The tests below show that the checks detect a protocol with a defect.
TEST(OnceHistory, AssumingAppendOnUnknownIsDetected)
{
    CHECK(isDefectDetected(ProtocolDefect::AssumeAppendedOnUnknown));
}

TEST(OnceHistory, SkippingForeignRecordsIsDetected)
{
    CHECK(isDefectDetected(ProtocolDefect::SkipForeignRecords));
}

TEST(OnceHistory, ReleasingForeignClaimsIsDetected)
{
    CHECK(isDefectDetected(ProtocolDefect::ReleaseForeignClaims));
}

TEST(OnceHistory, ExpiringClaimsTooEarlyIsDetected)
{
    CHECK(isDefectDetected(ProtocolDefect::ExpireClaimsTooEarly));
}

TEST(OnceHistory, StartingAfterAFreezeIsDetected)
{
    CHECK(isDefectDetected(ProtocolDefect::IgnoreStartRefusal));
}
