#include "coordination/membership/membershipfactory.h"

#include "coordination/membership/tests/mocks/membershipsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const char *const DOMAINS[] = { "fortitude-hall", "southbank-hall", "coorparoo-dc", "eagle-farm" };

/// Daemons in four failure domains, all of which know the first one as their seed.
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

// A host loses power while others work. Nobody is told; its pings are not answered, others are
// asked to ping it, and it cannot refute the suspicion. Every daemon stops offering it work.
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

// A process is stopped for a minute, long past every timeout, then wakes up with all its timers
// expired and its sockets full. It must not offer its callers "no server" because it takes everyone
// else for dead; the others take it back within seconds.
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

// A fifth of all messages is lost for five minutes. Suspicions come up all the time; each must be
// refuted in time, or callers lose servers that are well.
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

// A failure domain is cut off for two minutes. Each side goes on with its own members. After the
// cut both sides hold each other for dead and have stopped pinging each other; they must meet again
// without any member of one's own side being lost on the way.
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

// The cut lasts longer than the dead are remembered. Only the seeds lead across.
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

// A daemon is to stop once its requests are done: it says so, and goes on answering pings.
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

// A host is replaced: the same daemon comes back on another port before anyone noticed the crash.
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

// The clock of a restarted host is behind: the others hold its former run for the newer one, and
// would ignore it for ever. It is told, and can start anew with a larger incarnation.
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

// 1. A power failure ends all daemons. Each starts again and reads the same list of endpoints, half
//    of which lead nowhere by now.
// 2. Until they have found each other, callers hear that there is no server.
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

// The log lists a seed whose host is gone; a daemon that knows only it must not give up.
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
