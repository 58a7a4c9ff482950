#include "coordination/quarantine/tests/mocks/suspectfleet.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t SMALL = 10;
/// The size of deployment that is aimed for.
constexpr std::size_t LARGE = 790;
constexpr std::uint64_t SEEDS = 50;
constexpr double HIGH_LOSS_SHARE = 0.2;
constexpr Duration INTERVAL = 150ms;
/// Within this time all connected daemons must have an update.
constexpr Duration MAX_SPREAD_TIME = 3s;
constexpr Duration TWO_COMPARISONS = 1s;
constexpr std::size_t CRASHES = 3;
/// Allowed number of sends to servers later than `MAX_SPREAD_TIME` after the third crash.
constexpr std::size_t MAX_LATE_SENDS = 3;

/// Sends the crashing request to the daemons in turn, one per `INTERVAL`.
void keepSending(SuspectFleet &fleet, std::size_t entries, Duration time)
{
    for (std::size_t entry = 0; time > Duration::zero(); time -= INTERVAL) {
        fleet.sendCrashingRequest(entry++ % entries);
        fleet.advance(INTERVAL);
    }
}

/// Sends the request until it has crashed the third server, and for some time after. Returns how
/// many sends reach servers later than `MAX_SPREAD_TIME` after that crash.
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

// Guards against daemons that still forward a request seconds after it has crashed three servers.
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

// Guards against a domain that forwards a request whose quarantine it missed while partitioned.
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

// Guards against a restarted daemon that forwards the request because its table is empty.
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

// Guards against a quarantined request that crashes further servers after a restart of all daemons.
TEST(SuspectGossip, RestartOfAllDaemonsKeepsTheQuarantine)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SuspectFleet fleet(SMALL, seed, 0);
        while (fleet.sends() < CRASHES) {
            fleet.sendCrashingRequest(fleet.sends());
        }
        fleet.advance(MAX_SPREAD_TIME);
        const std::size_t before = fleet.sends();
        keepSending(fleet, SMALL, 4 * MAX_SPREAD_TIME);
        for (std::size_t i = 0; i < SMALL; ++i) {
            fleet.restart(i);
        }
        fleet.advance(MAX_SPREAD_TIME);
        keepSending(fleet, SMALL, 4 * MAX_SPREAD_TIME);
        CHECK_COMPARE(fleet.sends() - before, <=, MAX_LATE_SENDS);
    }
}

// Guards against a restart right after the third crash, before the quarantine.
TEST(SuspectGossip, RestartOfAllDaemonsKeepsTheCrashesBeforeTheQuarantine)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SuspectFleet fleet(SMALL, seed, 0);
        while (fleet.crashes() < CRASHES) {
            keepSending(fleet, SMALL, INTERVAL);
        }
        fleet.advance(2 * SuspectFleet::WRITE_DELAY);
        for (std::size_t i = 0; i < SMALL; ++i) {
            fleet.restart(i);
        }
        fleet.advance(MAX_SPREAD_TIME);
        const std::size_t before = fleet.sends();
        keepSending(fleet, SMALL, 4 * MAX_SPREAD_TIME);
        CHECK_COMPARE(fleet.sends() - before, <=, MAX_LATE_SENDS);
    }
}

// Guards against a quarantine that ends with the restart because the store was away or had lost the
// record before.
TEST(SuspectGossip, AStoreThatLostTheQuarantineGetsItAgain)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        SuspectFleet fleet(SMALL, seed, 0);
        fleet.saveStore();
        fleet.setStoreDown(true);
        crashThreeServers(fleet, SMALL);
        LONGS_EQUAL(0, fleet.storedRecords());
        fleet.setStoreDown(false);
        fleet.advance(SuspectFleet::STORE_INTERVAL * SMALL + 1ms);
        LONGS_EQUAL(1, fleet.storedRecords());
        fleet.restoreStore();
        LONGS_EQUAL(0, fleet.storedRecords());
        fleet.advance(SuspectFleet::STORE_INTERVAL * SMALL + 1ms);
        for (std::size_t i = 0; i < SMALL; ++i) {
            fleet.restart(i);
        }
        fleet.advance(1ms);
        LONGS_EQUAL(SMALL, fleet.countQuarantining());
    }
}

// Guards against message traffic without crashes, and against traffic that grows after them.
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
