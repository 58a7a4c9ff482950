#include "coordination/membership/membershipfactory.h"

#include "coordination/membership/tests/mocks/membershipsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const char *const DOMAINS[] = { "fortitude-hall", "southbank-hall", "coorparoo-dc", "eagle-farm" };

/// Daemons in four failure domains, all of which know the first one as their seed.
void startAll(MembershipFabric &fabric, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        fabric.start(DOMAINS[i % 4], i == 0 ? MembershipFabric::NONE : 0);
    }
    const Duration limit = 60s;
    CHECK(fabric.runUntil([&] { return fabric.agreeOn(count); }, limit) < limit);
}

std::size_t totalChanges(MembershipFabric &fabric)
{
    std::size_t changes = 0;
    for (std::size_t i = 0; i < fabric.size(); ++i) {
        changes += fabric.node(i).changes;
    }
    return changes;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, DaemonsThatStartTogetherFindEachOther)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipFabric fabric(seed);
        startAll(fabric, 48);
    }
}

// A host loses power while others work. Nobody is told; its pings are not answered, others are
// asked to ping it, and it cannot refute the suspicion. Every daemon stops offering it work.
TEST(Membership, CrashIsNoticedByAll)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipFabric fabric(seed);
        startAll(fabric, 32);
        fabric.crash(7);
        const Duration limit = 25s;
        CHECK(fabric.runUntil([&] { return fabric.agreeOn(31); }, limit) < limit);
    }
}

// A process is stopped for a minute, long past every timeout, then wakes up with all its timers
// expired and its sockets full. It must not offer its callers "no server" because it takes everyone
// else for dead; the others take it back within seconds.
TEST(Membership, FrozenProcessDeclaresNobodyDead)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipFabric fabric(seed);
        startAll(fabric, 24);
        fabric.freeze(3, 60s);
        fabric.run(59s);
        CHECK_FALSE(fabric.sees(5, 3));
        for (int i = 0; i < 100; ++i) {
            fabric.run(200ms);
            CHECK(fabric.node(3).membership->working().size() == 24);
        }
        CHECK(fabric.agreeOn(24));
    }
}

// A fifth of all messages is lost for five minutes. Suspicions come up all the time; each must be
// refuted in time, or callers lose servers that are well.
TEST(Membership, LossCausesNoFalseDeath)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        MembershipFabric fabric(seed);
        startAll(fabric, 32);
        fabric.setLoss(0.2);
        const std::size_t before = totalChanges(fabric);
        fabric.run(300s);
        CHECK_EQUAL(before, totalChanges(fabric));
        CHECK(fabric.agreeOn(32));
    }
}

// A failure domain is cut off for two minutes. Each side goes on with its own members. After the
// cut both sides hold each other for dead and have stopped pinging each other; they must meet again
// without any member of one's own side being lost on the way.
TEST(Membership, DomainsMergeAfterPartition)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipFabric fabric(seed);
        startAll(fabric, 32);
        fabric.cut(DOMAINS[0]);
        fabric.run(120s);
        CHECK(fabric.agreeOn(8, DOMAINS[0]));
        CHECK(fabric.agreeOn(24, DOMAINS[1]));
        fabric.mend();
        const auto isOwnSideWhole = [&] {
            return fabric.node(0).membership->working().size() >= 8
                && fabric.node(1).membership->working().size() >= 24;
        };
        bool isWhole = true;
        const Duration limit = 60s;
        const auto isMerged = [&] {
            isWhole = isWhole && isOwnSideWhole();
            return fabric.agreeOn(32);
        };
        CHECK(fabric.runUntil(isMerged, limit) < limit);
        CHECK(isWhole);
    }
}

// The cut lasts longer than the dead are remembered. Only the seeds lead across.
TEST(Membership, SeedsJoinSidesThatForgotEachOther)
{
    MembershipOptions options;
    options.deadRetention = 60s;
    MembershipFabric fabric(1, options);
    startAll(fabric, 16);
    fabric.cut(DOMAINS[0]);
    fabric.run(300s);
    CHECK(fabric.node(1).membership->all().size() == 12);
    fabric.mend();
    const Duration limit = 180s;
    CHECK(fabric.runUntil([&] { return fabric.agreeOn(16); }, limit) < limit);
}

TEST(Membership, GoodbyeIsSeenAtOnceByThoseToldAndSoonByAll)
{
    MembershipFabric fabric(1);
    startAll(fabric, 64);
    fabric.leave(9);
    fabric.run(5ms);
    std::size_t told = 0;
    for (std::size_t i = 0; i < fabric.size(); ++i) {
        told += i != 9 && !fabric.sees(i, 9) ? 1 : 0;
    }
    CHECK(told >= 8);
    const Duration limit = 5s;
    CHECK(fabric.runUntil([&] { return fabric.agreeOn(63); }, limit) < limit);
}

// A daemon is to stop once its requests are done: it says so, and goes on answering pings.
TEST(Membership, LeavingMemberTakesNoWorkButStaysAMember)
{
    MembershipFabric fabric(1);
    startAll(fabric, 32);
    Member self = fabric.node(4).record;
    self.leaving = true;
    fabric.deliver(4, fabric.node(4).membership->updateSelf(fabric.now(), self));
    const Duration limit = 5s;
    CHECK(fabric.runUntil([&] { return fabric.agreeOn(31); }, limit) < limit);
    fabric.run(30s);
    for (const MemberStatus &status : fabric.node(8).membership->all()) {
        CHECK(status.health == MemberHealth::Alive);
    }
}

// A host is replaced: the same daemon comes back on another port before anyone noticed the crash.
TEST(Membership, NewIncarnationReplacesTheOldRecord)
{
    MembershipFabric fabric(1);
    startAll(fabric, 32);
    fabric.restart(6, 0);
    const auto isReplaced = [&] {
        for (std::size_t i = 0; i < fabric.size(); ++i) {
            if (!fabric.sees(i, 6)) {
                return false;
            }
        }
        return true;
    };
    const Duration limit = 10s;
    CHECK(fabric.runUntil(isReplaced, limit) < limit);
    fabric.run(60s);
    CHECK(isReplaced());
}

// The clock of a restarted host is behind: the others hold its former run for the newer one, and
// would ignore it for ever. It is told, and can start anew with a larger incarnation.
TEST(Membership, DaemonLearnsThatItsIncarnationIsTooSmall)
{
    MembershipFabric fabric(1);
    startAll(fabric, 8);
    MembershipMessage message;
    message.sender = fabric.node(1).record.peerEndpoint;
    MemberUpdate update;
    update.id = fabric.node(0).record.id;
    update.incarnation = Incarnation(1000);
    update.health = MemberHealth::Dead;
    message.updates.push_back(update);
    const auto actions =
        fabric.node(0).membership->receive(fabric.now(), fabric.node(1).record.id, message);
    CHECK(actions.newerSelf == Incarnation(1000));
}

// 1. A power failure ends all daemons. Each starts again and reads the same list of endpoints, half
//    of which lead nowhere by now.
// 2. Until they have found each other, callers hear that there is no server.
TEST(Membership, DaemonsThatStartAgainTogetherFindEachOtherSoon)
{
    constexpr std::size_t COUNT = 17;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        MembershipFabric fabric(seed);
        for (std::size_t i = 0; i < 2 * COUNT; ++i) {
            fabric.start(DOMAINS[i % 4]);
        }
        for (std::size_t i = COUNT; i < 2 * COUNT; ++i) {
            fabric.crash(i);
        }
        fabric.run(50ms);
        for (std::size_t i = 0; i < COUNT; ++i) {
            for (std::size_t other = 0; other < 2 * COUNT; ++other) {
                fabric.deliver(
                    i,
                    fabric.node(i).membership->addSeed(fabric.now(),
                                                       { fabric.node(other).record.peerEndpoint,
                                                         fabric.node(other).record.domain }));
            }
        }
        CHECK(fabric.runUntil([&] { return fabric.agreeOn(COUNT); }, 2s) <= 1200ms);
    }
}

// The log lists a seed whose host is gone; a daemon that knows only it must not give up.
TEST(Membership, SeedIsTriedAgainUntilItAnswers)
{
    MembershipFabric fabric(1);
    const std::size_t seed = fabric.start(DOMAINS[0]);
    fabric.crash(seed);
    const std::size_t other = fabric.start(DOMAINS[1], seed);
    fabric.run(20s);
    CHECK(fabric.node(other).membership->working().size() == 1);
    fabric.node(seed).isRunning = true;
    const Duration limit = 10s;
    CHECK(fabric.runUntil([&] { return fabric.agreeOn(2); }, limit) < limit);
}
