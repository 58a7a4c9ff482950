#include "coordination/quarantine/tests/mocks/suspectfleet.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t SMALL = 10;
/// Of the aim.
constexpr std::size_t LARGE = 790;
constexpr std::uint64_t SEEDS = 50;
constexpr double HIGH_LOSS_SHARE = 0.2;
constexpr Duration INTERVAL = 150ms;
/// In this time all daemons in touch must know.
constexpr Duration MAX_SPREAD_TIME = 3s;
constexpr Duration TWO_COMPARISONS = 1s;
constexpr std::size_t CRASHES = 3;
/// Sends to servers that the users bear later than `MAX_SPREAD_TIME` after the third crash.
constexpr std::size_t MAX_LATE_SENDS = 3;

/// Sends the crashing request at `INTERVAL` to daemons in turn.
void keepSending(SuspectFleet &fleet, std::size_t entries, Duration time)
{
    for (std::size_t entry = 0; time > Duration::zero(); time -= INTERVAL) {
        fleet.sendCrashingRequest(entry++ % entries);
        fleet.advance(INTERVAL);
    }
}

/// Sends it until the third server has crashed under it, and for some time more. Returns what
/// reaches servers later than `MAX_SPREAD_TIME` after that crash.
std::size_t crashThreeServers(SuspectFleet &fleet, std::size_t entries)
{
    for (int i = 0; i < 100 && fleet.crashes() < CRASHES; ++i) {
        keepSending(fleet, entries, INTERVAL);
    }
    keepSending(fleet, entries, MAX_SPREAD_TIME);
    const std::size_t before = fleet.sends();
    keepSending(fleet, entries, 2 * MAX_SPREAD_TIME);
    return fleet.sends() - before;
}

} // namespace

TEST_GROUP(SuspectGossip){};

// Guards against daemons that still send a request on, seconds after it has crashed three servers.
TEST(SuspectGossip, ThreeCrashesQuarantineEverywhere)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SuspectFleet fleet(SMALL, seed, HIGH_LOSS_SHARE);
        CHECK_COMPARE(crashThreeServers(fleet, SMALL), <=, MAX_LATE_SENDS);
        LONGS_EQUAL(SMALL, fleet.countQuarantining());
        CHECK_COMPARE(fleet.crashes(), <=, CRASHES + MAX_LATE_SENDS);
    }
}

TEST(SuspectGossip, ThreeCrashesQuarantineEverywhereInLargeDeployment)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SuspectFleet fleet(LARGE, seed, HIGH_LOSS_SHARE);
        CHECK_COMPARE(crashThreeServers(fleet, LARGE), <=, MAX_LATE_SENDS);
        LONGS_EQUAL(LARGE, fleet.countQuarantining());
        CHECK_COMPARE(fleet.crashes(), <=, CRASHES + MAX_LATE_SENDS);
    }
}

// Guards against a domain that sends on what it could not hear of while it was cut off.
TEST(SuspectGossip, PartitionedDaemonsCatchUpWhenReconnected)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SuspectFleet fleet(SMALL, seed, HIGH_LOSS_SHARE);
        fleet.partition({ 7, 8, 9 });
        crashThreeServers(fleet, 7);
        LONGS_EQUAL(7, fleet.countQuarantining());
        fleet.partition({});
        fleet.advance(MAX_SPREAD_TIME);
        LONGS_EQUAL(SMALL, fleet.countQuarantining());
    }
}

// Guards against a daemon that starts, knows nothing, and sends the request on.
TEST(SuspectGossip, RestartedDaemonCatchesUpAtFirstComparison)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SuspectFleet fleet(SMALL, seed, 0);
        crashThreeServers(fleet, SMALL);
        fleet.restart(4);
        fleet.advance(TWO_COMPARISONS);
        CHECK(fleet.isQuarantinedAt(4));
    }
}

TEST(SuspectGossip, RestartedDaemonsCatchUpInLargeDeployment)
{
    SuspectFleet fleet(LARGE, 7, HIGH_LOSS_SHARE);
    crashThreeServers(fleet, LARGE);
    for (std::size_t i = 0; i < 30; ++i) {
        fleet.restart(i * 20);
    }
    fleet.advance(MAX_SPREAD_TIME);
    LONGS_EQUAL(LARGE, fleet.countQuarantining());
}

// Guards against an exchange that costs all the time what is needed at crashes only.
TEST(SuspectGossip, NoMessagesWhileTableIsEmpty)
{
    SuspectFleet fleet(SMALL, 1, 0);
    fleet.advance(MAX_SPREAD_TIME);
    const std::size_t atStart = fleet.messages();
    fleet.advance(10s);
    LONGS_EQUAL(atStart, fleet.messages());
    crashThreeServers(fleet, SMALL);
    const std::size_t before = fleet.messages();
    fleet.advance(10s);
    const std::size_t rounds = 10s / SuspectFleet::COMPARE_INTERVAL + 1;
    CHECK_COMPARE(fleet.messages() - before, <=, SMALL * rounds);
}
