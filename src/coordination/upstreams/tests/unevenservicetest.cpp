#include "coordination/upstreams/tests/mocks/unevenservice.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr Duration WARM_UP = 5s;
constexpr Duration LENGTH = 10s;
/// The share of the capacity that has to be used under overload.
constexpr double MIN_USED = 0.97;

using Server = UnevenService::Server;
using StatedOrNone = std::optional<StatedLoad>;

StatedOrNone truth(const Server &server)
{
    const auto workTime = static_cast<std::uint32_t>(std::lround(100 / server.machineSpeed));
    return StatedLoad{ server.running, server.waiting, server.slots, WorkTimePercent(workTime) };
}

StatedOrNone threeFigures(const Server &server)
{
    return StatedLoad{ server.running, server.waiting, server.slots, std::nullopt };
}

StatedOrNone alwaysIdle(const Server &server)
{
    return StatedLoad{ 0, 0, server.slots, WorkTimePercent(20) };
}

StatedOrNone alwaysFull(const Server &server)
{
    return StatedLoad{ server.slots, server.slots, server.slots, USUAL_WORK_TIME };
}

StatedOrNone alwaysSlow(const Server &server)
{
    return StatedLoad{ server.running, server.waiting, server.slots, WorkTimePercent(1000) };
}

StatedOrNone slowWhenUsual(const Server &server)
{
    const WorkTimePercent workTime(server.machineSpeed < 1 ? 100 : 250);
    return StatedLoad{ server.running, server.waiting, server.slots, workTime };
}

UnevenService::Totals play(double load, const UnevenService::Statement &statement,
                           bool hasSingleQueue = false)
{
    UnevenService::Options options;
    options.load = load;
    options.hasSingleQueue = hasSingleQueue;
    UnevenService service(options);
    service.setStatement(statement);
    service.run(WARM_UP);
    return service.run(LENGTH);
}

/// As `play`, with one server that states something else, or fails all calls.
UnevenService::Totals playOne(double load, const UnevenService::Statement &statement, double speed,
                              bool isFailing)
{
    constexpr std::size_t LIAR = 13;
    UnevenService::Options options;
    options.load = load;
    UnevenService service(options);
    service.setStatement(truth);
    service.setStatement(LIAR, statement);
    service.setSpeed(LIAR, speed);
    if (isFailing) {
        service.setFailing(LIAR);
    }
    service.run(WARM_UP);
    return service.run(LENGTH);
}

} // namespace

TEST_GROUP(UnevenService){};

// Guards against calls that wait at a slow server while others have free slots.
TEST(UnevenService, ResponseTimesAreCloseToThoseOfASingleQueue)
{
    auto single = play(0.9, nullptr, true);
    auto none = play(0.9, nullptr);
    auto stated = play(0.9, truth);
    CHECK(stated.percentile(0.99) <= 1.25 * single.percentile(0.99));
    CHECK(stated.percentile(0.99) < none.percentile(0.99));
    CHECK_EQUAL(0, stated.refused);
}

TEST(UnevenService, CapacityIsUsedUnderOverload)
{
    CHECK(play(1.5, truth).usedCapacity >= MIN_USED);
}

// Guards against decisions that change in deployments whose servers do not state their speed.
TEST(UnevenService, ThreeFiguresChangeNothing)
{
    const auto none = play(0.9, nullptr);
    const auto three = play(0.9, threeFigures);
    CHECK(none.times == three.times);
    CHECK_EQUAL(none.refusedAttempts, three.refusedAttempts);
}

// Guards against false statements that serve callers worse than no statements.
TEST(UnevenService, FalseStatementsOfAllServersAreNotWorseThanNone)
{
    auto none = play(0.9, nullptr);
    for (const auto &statement : { alwaysIdle, alwaysFull, alwaysSlow, slowWhenUsual }) {
        auto stated = play(0.9, statement);
        CHECK(stated.percentile(0.99) <= none.percentile(0.99));
        CHECK_EQUAL(0, stated.refused);
        CHECK(play(1.5, statement).usedCapacity >= MIN_USED);
    }
}

// Guards against a server that is slow or fails, and gets more calls because it states to be idle.
TEST(UnevenService, IdleStatementOfASlowOrFailingServerAttractsNoCalls)
{
    for (const bool isFailing : { false, true }) {
        const double speed = isFailing ? 1 : 0.2;
        auto none = playOne(0.9, nullptr, speed, isFailing);
        auto idle = playOne(0.9, alwaysIdle, speed, isFailing);
        CHECK(idle.failed <= 1.1 * none.failed);
        CHECK(idle.percentile(0.99) <= 1.05 * none.percentile(0.99));
        CHECK_EQUAL(none.refused, idle.refused);
    }
}

// Guards against a server that stays without work because it states to be full.
TEST(UnevenService, IdleServerThatStatesToBeFullIsUsed)
{
    CHECK(playOne(1.5, alwaysFull, 1, false).usedCapacity
          >= 0.995 * playOne(1.5, nullptr, 1, false).usedCapacity);
}

// Guards against a daemon that goes by what its predecessor knew of the server.
TEST(UnevenService, SpeedIsUnknownAfterARestart)
{
    UnevenService::Options options;
    UnevenService service(options);
    service.setStatement(truth);
    service.run(WARM_UP);
    CHECK(service.report(20).speed != SpeedShare());
    service.restartGate(20);
    CHECK(service.report(20).speed == SpeedShare());
}
