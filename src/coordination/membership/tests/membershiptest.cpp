#include "coordination/membership/membershipfactory.h"

#include "coordination/membership/tests/mocks/membershipsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const char *const DOMAINS[] = { "fortitude-hall", "southbank-hall", "coorparoo-dc", "eagle-farm" };

/// Starts daemons in four failure domains with the first daemon as seed and waits until all see
/// all.
void startMembers(MembershipSimulation &simulation, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        simulation.start(DOMAINS[i % 4], i == 0 ? MembershipSimulation::NONE : 0);
    }
    const Duration limit = 60s;
    CHECK(simulation.runUntil([&] { return simulation.agreeOn(count); }, limit) < limit);
}

std::size_t totalChanges(MembershipSimulation &simulation)
{
    std::size_t changes = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        changes += simulation.node(i).changes;
    }
    return changes;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, ConcurrentStartsConvergeOnOneMemberList)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipSimulation simulation(seed);
        startMembers(simulation, 48);
    }
}

// A host loses power without notice. Direct and indirect pings get no answer, and the suspicion is
// not refuted. All daemons must stop sending it work.
TEST(Membership, CrashIsDetectedByAllMembers)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipSimulation simulation(seed);
        startMembers(simulation, 32);
        simulation.crash(7);
        const Duration limit = 25s;
        CHECK(simulation.runUntil([&] { return simulation.agreeOn(31); }, limit) < limit);
    }
}

// A process is suspended for a minute, longer than any timeout, and resumes with expired timers and
// full sockets. Guards against declaring all other members dead, which would give callers "no
// server"; the others must accept it again within seconds.
TEST(Membership, ResumedProcessDeclaresNoMemberDead)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipSimulation simulation(seed);
        startMembers(simulation, 24);
        simulation.freeze(3, 60s);
        simulation.run(59s);
        CHECK_FALSE(simulation.sees(5, 3));
        for (int i = 0; i < 100; ++i) {
            simulation.run(200ms);
            CHECK(simulation.node(3).membership->availableMembers().size() == 24);
        }
        CHECK(simulation.agreeOn(24));
    }
}

// With 20 % packet loss for five minutes, suspicions are frequent. Each must be refuted in time, or
// callers lose healthy servers.
TEST(Membership, PacketLossCausesNoFalseDeath)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        MembershipSimulation simulation(seed);
        startMembers(simulation, 32);
        simulation.setLoss(0.2);
        const std::size_t before = totalChanges(simulation);
        simulation.run(300s);
        CHECK_EQUAL(before, totalChanges(simulation));
        CHECK(simulation.agreeOn(32));
    }
}

// A failure domain is partitioned for two minutes, and each side continues with its own members.
// Afterwards the sides consider each other dead and no longer ping each other. They must merge
// without losing a member of their own side in between.
TEST(Membership, MembersMergeAfterPartitionHeals)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipSimulation simulation(seed);
        startMembers(simulation, 32);
        simulation.partition(DOMAINS[0]);
        simulation.run(120s);
        CHECK(simulation.agreeOn(8, DOMAINS[0]));
        CHECK(simulation.agreeOn(24, DOMAINS[1]));
        simulation.heal();
        const auto isOwnPartitionComplete = [&] {
            return simulation.node(0).membership->availableMembers().size() >= 8
                && simulation.node(1).membership->availableMembers().size() >= 24;
        };
        bool isComplete = true;
        const Duration limit = 60s;
        const auto isMerged = [&] {
            isComplete = isComplete && isOwnPartitionComplete();
            return simulation.agreeOn(32);
        };
        CHECK(simulation.runUntil(isMerged, limit) < limit);
        CHECK(isComplete);
    }
}

// The partition outlasts the retention of dead members: only the seeds reconnect the sides.
TEST(Membership, SeedsReconnectPartitionsAfterDeadMembersExpire)
{
    MembershipOptions options;
    options.deadRetention = 60s;
    MembershipSimulation simulation(1, options);
    startMembers(simulation, 16);
    simulation.partition(DOMAINS[0]);
    simulation.run(300s);
    CHECK(simulation.node(1).membership->allMembers().size() == 12);
    simulation.heal();
    const Duration limit = 180s;
    CHECK(simulation.runUntil([&] { return simulation.agreeOn(16); }, limit) < limit);
}

TEST(Membership, LeaveReachesDirectReceiversAtOnceAndAllWithinSeconds)
{
    MembershipSimulation simulation(1);
    startMembers(simulation, 64);
    simulation.leave(9);
    simulation.run(5ms);
    std::size_t notified = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        notified += i != 9 && !simulation.sees(i, 9) ? 1 : 0;
    }
    CHECK(notified >= 8);
    const Duration limit = 5s;
    CHECK(simulation.runUntil([&] { return simulation.agreeOn(63); }, limit) < limit);
}

// A daemon that stops once its requests are done is marked as leaving and still answers pings.
TEST(Membership, LeavingMemberIsUnavailableButAlive)
{
    MembershipSimulation simulation(1);
    startMembers(simulation, 32);
    Member self = simulation.node(4).record;
    self.leaving = true;
    simulation.deliver(4, simulation.node(4).membership->updateSelf(simulation.now(), self));
    const Duration limit = 5s;
    CHECK(simulation.runUntil([&] { return simulation.agreeOn(31); }, limit) < limit);
    simulation.run(30s);
    for (const MemberStatus &status : simulation.node(8).membership->allMembers()) {
        CHECK(status.health == MemberHealth::Alive);
    }
}

// A daemon restarts on another port before its crash is detected.
TEST(Membership, NewIncarnationReplacesOldRecord)
{
    MembershipSimulation simulation(1);
    startMembers(simulation, 32);
    simulation.restart(6, 0);
    const auto isReplaced = [&] {
        for (std::size_t i = 0; i < simulation.size(); ++i) {
            if (!simulation.sees(i, 6)) {
                return false;
            }
        }
        return true;
    };
    const Duration limit = 10s;
    CHECK(simulation.runUntil(isReplaced, limit) < limit);
    simulation.run(60s);
    CHECK(isReplaced());
}

// After a restart with the clock behind, the others know a larger incarnation, of the previous run,
// and would ignore the daemon permanently. It must report this, to restart with a larger one.
TEST(Membership, ReportsNewerIncarnationOfSelf)
{
    MembershipSimulation simulation(1);
    startMembers(simulation, 8);
    MembershipMessage message;
    message.sender = simulation.node(1).record.peerEndpoint;
    MemberUpdate update;
    update.id = simulation.node(0).record.id;
    update.incarnation = Incarnation(1000);
    update.health = MemberHealth::Dead;
    message.updates.push_back(update);
    const auto actions = simulation.node(0).membership->receive(
        simulation.now(), simulation.node(1).record.id, message);
    CHECK(actions.conflictingIncarnation == Incarnation(1000));
}

// After a power failure all daemons restart with the same list of endpoints, half of them stale.
// Until they have found each other, callers get "no server".
TEST(Membership, ConcurrentRestartsWithStaleSeedsConvergeQuickly)
{
    constexpr std::size_t COUNT = 17;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipSimulation simulation(seed);
        for (std::size_t i = 0; i < 2 * COUNT; ++i) {
            simulation.start(DOMAINS[i % 4]);
        }
        for (std::size_t i = COUNT; i < 2 * COUNT; ++i) {
            simulation.crash(i);
        }
        simulation.run(50ms);
        for (std::size_t i = 0; i < COUNT; ++i) {
            for (std::size_t other = 0; other < 2 * COUNT; ++other) {
                simulation.deliver(i,
                                   simulation.node(i).membership->addSeed(
                                       simulation.now(),
                                       { simulation.node(other).record.peerEndpoint,
                                         simulation.node(other).record.domain }));
            }
        }
        CHECK(simulation.runUntil([&] { return simulation.agreeOn(COUNT); }, 2s) <= 1200ms);
    }
}

// The only known seed is down at first. The daemon must keep trying.
TEST(Membership, SeedIsRetriedUntilItAnswers)
{
    MembershipSimulation simulation(1);
    const std::size_t seed = simulation.start(DOMAINS[0]);
    simulation.crash(seed);
    const std::size_t other = simulation.start(DOMAINS[1], seed);
    simulation.run(20s);
    CHECK(simulation.node(other).membership->availableMembers().size() == 1);
    simulation.node(seed).isRunning = true;
    const Duration limit = 10s;
    CHECK(simulation.runUntil([&] { return simulation.agreeOn(2); }, limit) < limit);
}
