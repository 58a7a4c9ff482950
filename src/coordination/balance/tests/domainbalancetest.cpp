#include "coordination/balance/tests/mocks/domainfleet.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const DomainName NORTH("reparto-nord");
const DomainName SOUTH("reparto-sud");
const DomainName WEST("reparto-ovest");

constexpr std::size_t HOSTS = 10;
constexpr std::uint32_t SLOTS = 8;
/// Calls per second of one slot, at the model's mean service time.
constexpr double CALLS_PER_SLOT = 20;
/// With it news is half a second old on its arrival, and older until the next.
constexpr Duration NEWS_DELAY = 50ms;
constexpr Duration SETTLING = 3s;
constexpr Duration MEASURED = 20s;
constexpr double MAX_SWING = 0.05;

/// Demand of 85 : 15 over two equal domains, together 0.9 of the capacity.
std::vector<ModelDomain> twoDomains()
{
    const double calls = 0.9 * 2 * HOSTS * SLOTS * CALLS_PER_SLOT;
    return { { NORTH, HOSTS, SLOTS, 0.85 * calls }, { SOUTH, HOSTS, SLOTS, 0.15 * calls } };
}

/// The crossing at which all servers of the first domain are busy all the time.
constexpr double LEAST_CROSSING_OF_TWO = (0.9 * 0.85 * 2 - 1) / (0.9 * 2);

/// Demand of 60 : 25 : 15, capacity of 15 : 25 : 60, together 0.9 of the capacity.
std::vector<ModelDomain> threeDomains()
{
    const double calls = 0.9 * 40 * SLOTS * CALLS_PER_SLOT;
    return { { NORTH, 6, SLOTS, 0.6 * calls },
             { SOUTH, 10, SLOTS, 0.25 * calls },
             { WEST, 24, SLOTS, 0.15 * calls } };
}
constexpr double LEAST_CROSSING_OF_THREE = (0.9 * 0.6 - 0.15) / 0.9;

ModelOptions withNewsDelay(Duration delay)
{
    ModelOptions options;
    options.newsDelay = delay;
    return options;
}

/// Measures the fleet and returns by how much the share of NORTH's calls that go to `to` moved.
double measureSwing(DomainFleet &fleet, const DomainName &to)
{
    double lowest = 1;
    double highest = 0;
    fleet.measure(MEASURED, [&] {
        lowest = std::min(lowest, fleet.share(NORTH, to));
        highest = std::max(highest, fleet.share(NORTH, to));
    });
    return highest - lowest;
}

void checkNoWorse(const ModelResult &result, double leastCrossing, const ModelResult &before)
{
    CHECK(result.served() >= 0.99);
    CHECK(result.crossing() <= 1.1 * leastCrossing);
    CHECK(result.crossing() < before.crossing());
    CHECK(result.served() >= before.served() - 0.001);
}

ModelResult playUnbalanced(const std::vector<ModelDomain> &domains)
{
    ModelOptions options;
    options.isBalanced = false;
    DomainFleet fleet(domains, options);
    fleet.run(SETTLING);
    fleet.measure(MEASURED);
    return fleet.result();
}

/// Two equal domains with the same demand, as a share of the capacity.
std::vector<ModelDomain> evenDomains(double load)
{
    const double calls = load * HOSTS * SLOTS * CALLS_PER_SLOT;
    return { { NORTH, HOSTS, SLOTS, calls }, { SOUTH, HOSTS, SLOTS, calls } };
}

ModelResult playWithAdmission(const std::vector<ModelDomain> &domains, bool isBalanced)
{
    ModelOptions options = withNewsDelay(NEWS_DELAY);
    options.hasAdmission = true;
    options.isBalanced = isBalanced;
    options.balance.targetUtilization = TARGET_UTILIZATION_WITH_ADMISSION;
    DomainFleet fleet(domains, options);
    fleet.run(SETTLING);
    fleet.measure(MEASURED);
    return fleet.result();
}

} // namespace

TEST_GROUP(DomainBalance){};

// Load: uneven demand over two equal domains, at 0.9 of the whole capacity.
TEST(DomainBalance, UnevenDemandIsServedWithFewCrossings)
{
    DomainFleet fleet(twoDomains(), withNewsDelay(NEWS_DELAY));
    fleet.run(SETTLING);
    const double swinging = measureSwing(fleet, SOUTH);
    CHECK(swinging <= MAX_SWING);
    checkNoWorse(fleet.result(), LEAST_CROSSING_OF_TWO, playUnbalanced(twoDomains()));
}

// Load: demand over three domains whose capacity is the other way round, at 0.9 of the whole.
TEST(DomainBalance, DemandAgainstCapacityIsServedWithFewCrossings)
{
    DomainFleet fleet(threeDomains(), withNewsDelay(NEWS_DELAY));
    fleet.run(SETTLING);
    const double swinging = measureSwing(fleet, WEST);
    CHECK(swinging <= MAX_SWING);
    checkNoWorse(fleet.result(), LEAST_CROSSING_OF_THREE, playUnbalanced(threeDomains()));
}

// Load: 85 : 15 at 0.9 of the capacity, with root admission by the mean of all servers, which must
// refuse nothing.
TEST(DomainBalance, RootAdmissionRefusesNothingThatTheWholeCanTake)
{
    CHECK(playWithAdmission(twoDomains(), true).served() >= 0.99);
}

// Load: 85 : 15 at 0.9 of the capacity, and the same demand divided evenly, with root admission.
TEST(DomainBalance, RootAdmissionRefusesNoMoreThanOfEvenDemand)
{
    const ModelResult balanced = playWithAdmission(twoDomains(), true);
    CHECK(balanced.served() >= playWithAdmission(evenDomains(0.9), false).served() - 0.01);
    CHECK(balanced.served() >= playWithAdmission(twoDomains(), false).served() - 0.01);
}

// Load: 85 : 15 at 1.5 times the capacity, and the same demand divided evenly, with root admission.
TEST(DomainBalance, AllServersAreUsedWhereTheWholeIsShort)
{
    constexpr double OVERLOAD = 1.5;
    std::vector<ModelDomain> domains = twoDomains();
    for (ModelDomain &domain : domains) {
        domain.callsPerSecond *= OVERLOAD / 0.9;
    }
    const ModelResult balanced = playWithAdmission(domains, true);
    CHECK(balanced.served() >= 0.95 * playWithAdmission(evenDomains(OVERLOAD), false).served());
}

// Load: even demand at 0.8 of the capacity of each domain.
TEST(DomainBalance, DoesNothingWhereEachDomainSuffices)
{
    const std::vector<ModelDomain> domains = evenDomains(0.8);
    DomainFleet fleet(domains, {});
    fleet.run(SETTLING);
    fleet.measure(MEASURED, [&] { DOUBLES_EQUAL(-1, fleet.share(NORTH, SOUTH), 0); });
    const ModelResult before = playUnbalanced(domains);
    LONGS_EQUAL(before.calls, fleet.result().calls);
    LONGS_EQUAL(before.inTime, fleet.result().inTime);
    LONGS_EQUAL(before.crossed, fleet.result().crossed);
}

// Load: the demand of one domain that has no server.
TEST(DomainBalance, DomainWithoutServersSendsAll)
{
    const double calls = HOSTS * SLOTS * CALLS_PER_SLOT;
    DomainFleet fleet({ { NORTH, HOSTS, 0, 0.8 * calls },
                        { SOUTH, HOSTS, SLOTS, 0.05 * calls },
                        { WEST, HOSTS, SLOTS, 0.95 * calls } },
                      {});
    fleet.run(SETTLING);
    fleet.measure(5s);
    DOUBLES_EQUAL(0, fleet.share(NORTH, NORTH), 1e-9);
    CHECK(fleet.share(NORTH, SOUTH) > 0.9);
    CHECK(fleet.result().served() >= 0.99);
}

// Guards against calls that are sent into a cut, and against a share that comes back late.
TEST(DomainBalance, ShareIsBackWithinASecondAfterACutHeals)
{
    DomainFleet fleet(twoDomains(), {});
    fleet.run(2 * SETTLING);
    const double before = fleet.share(NORTH, SOUTH);
    fleet.cut(NORTH, SOUTH);
    fleet.cut(SOUTH, NORTH);
    fleet.setMembersOf(NORTH, { NORTH });
    fleet.setMembersOf(SOUTH, { SOUTH });
    fleet.run(5s);
    DOUBLES_EQUAL(-1, fleet.share(NORTH, SOUTH), 0);
    fleet.heal();
    fleet.setMembersToAll();
    fleet.run(1s);
    DOUBLES_EQUAL(before, fleet.share(NORTH, SOUTH), 0.05);
}

// Guards against shares from old sums where only one direction of a cut loses messages.
TEST(DomainBalance, OneDirectionCutEndsTheSharesOfTheDeafDomain)
{
    DomainFleet fleet(twoDomains(), {});
    fleet.run(SETTLING);
    fleet.cut(SOUTH, NORTH);
    fleet.run(3s);
    DOUBLES_EQUAL(-1, fleet.share(NORTH, SOUTH), 0);
}

// Guards against wrong or lasting shares when the summing daemon ends between two of its messages.
TEST(DomainBalance, AnotherDaemonAddsUpAfterTheSummingOneEnds)
{
    DomainFleet fleet(twoDomains(), {});
    fleet.run(SETTLING);
    const double before = fleet.share(NORTH, SOUTH);
    const DaemonId summing = fleet.summingDaemon(NORTH);
    CHECK_FALSE(summing.value().empty());
    fleet.kill(summing);
    fleet.run(1s);
    fleet.updateMembers();
    fleet.measure(2s);
    DOUBLES_EQUAL(before, fleet.share(NORTH, SOUTH), 0.1);
    CHECK(fleet.result().served() >= 0.99);
}

// Guards against partial sums, as of a daemon that takes itself for the summing one beside another.
TEST(DomainBalance, PartialReportsAreNotTold)
{
    std::vector<Member> members;
    for (int i = 0; i < 10; ++i) {
        Member member;
        member.id = DaemonId("nord-" + std::to_string(i));
        member.domain = NORTH;
        member.upstreams = { { ServiceName("magazzino"), SLOTS, SLOTS, false, {} } };
        members.push_back(member);
    }
    std::vector<Member> all = members;
    all.push_back(members.front());
    all.back().id = DaemonId("sud-1");
    all.back().domain = SOUTH;
    const TimePoint now(1000s);
    std::size_t reports = 0;
    for (const Member &member : members) {
        const auto balance = makeDomainBalance({});
        balance->setMembers(now, member.id, all);
        balance->tick(now);
        for (const OutgoingBalanceMessage &each : balance->takeOutgoing()) {
            CHECK(std::holds_alternative<BalanceReport>(each.message));
            ++reports;
        }
    }
    LONGS_EQUAL(members.size() - 1, reports);
}

// Guards against sums that are counted twice when messages arrive twice.
TEST(DomainBalance, MessagesThatArriveTwiceChangeNothing)
{
    DomainFleet fleet(twoDomains(), {});
    fleet.duplicateMessages();
    fleet.run(SETTLING);
    DOUBLES_EQUAL(LEAST_CROSSING_OF_TWO / 0.85, fleet.share(NORTH, SOUTH), 0.05);
}

// Guards against overload when news suddenly takes a second longer.
TEST(DomainBalance, LateNewsKeepsCallersServed)
{
    DomainFleet fleet(twoDomains(), {});
    fleet.run(SETTLING);
    fleet.setNewsDelay(500ms);
    fleet.measure(10s);
    CHECK(fleet.result().served() >= 0.99);
}

// Guards against rounds of an earlier run that make others ignore a restarted summing daemon.
TEST(DomainBalance, SharesAreBackAfterARestartOfAllDaemons)
{
    DomainFleet fleet(twoDomains(), {});
    fleet.run(10s);
    const double before = fleet.share(NORTH, SOUTH);
    fleet.restartAll();
    fleet.run(SETTLING);
    DOUBLES_EQUAL(before, fleet.share(NORTH, SOUTH), 0.05);
}
