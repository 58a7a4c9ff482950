#include "coordination/admission/processorload.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

TEST_GROUP(ProcessorLoad)
{
    TimePoint m_now{ 10s };
    ProcessorLoad m_load;

    double run(int calls, double share, Duration lag)
    {
        for (int i = 0; i < calls; ++i, m_now += 1ms) {
            m_load.onArrival(m_now, DemandShare(static_cast<std::uint32_t>(share * 1000)), lag);
        }
        return m_load.load().value() / 1000.0;
    }
};

TEST(ProcessorLoad, LoadIsBelowCapacityWithoutLag)
{
    CHECK(run(1000, 1, 0ms) < 1);
}

TEST(ProcessorLoad, LoadExceedsCapacityAtAHighLag)
{
    CHECK(run(1000, 1, 300ms) > 1.4);
}

// What entries refuse counts as demand, or the load would fall as soon as they refuse, and they
// would open again at once.
TEST(ProcessorLoad, LoadIncludesTheDemandThatEntriesRefuse)
{
    DOUBLES_EQUAL(4, run(1000, 0.25, 80ms), 0.2);
}

// 1. A narrow service elsewhere has room for a tenth, and entries refuse the rest, or they have
// just
//    started and let in a few requests at a time.
// 2. The daemon keeps up. Told as its own load, what was refused would hold back all rules that
// lead
//    here, for seconds after there was room again.
TEST(ProcessorLoad, DemandRefusedForOtherServicesIsNoLoad)
{
    CHECK(run(2000, 0.1, 0ms) < 1);
    CHECK(run(2000, 0.02, 25ms) < 1);
}

TEST(ProcessorLoad, LoadEndsAfterTheLagEnds)
{
    CHECK(run(1000, 0.25, 200ms) > 4);
    CHECK(run(3000, 0.25, 0ms) < 1);
}

// 1. A daemon can pass on 600 calls a second and is asked for 1,000: calls lie unread ever longer.
// 2. Entries let in 1/load of what is asked. Within some seconds it is as much as can be passed on,
//    with a lag of a tenth of a second and not of seconds, and nothing swings.
TEST(ProcessorLoad, AdmissionConvergesToTheForwardingCapacity)
{
    constexpr double DEMAND_PER_STEP = 10;
    constexpr double FORWARDED_PER_STEP = 6;
    double unread = 0;
    double share = 1;
    double minShare = 1;
    double maxShare = 0;
    for (int i = 0; i < 2000; ++i, m_now += 10ms) {
        unread = std::max(0.0, unread + DEMAND_PER_STEP * share - FORWARDED_PER_STEP);
        const auto lag =
            std::chrono::microseconds(static_cast<int>(unread / FORWARDED_PER_STEP * 10000));
        for (int call = 0; call < 6; ++call) {
            m_load.onArrival(m_now, DemandShare(static_cast<std::uint32_t>(share * 1000)), lag);
        }
        share = std::min(1.0, 1000.0 / m_load.load().value());
        if (i > 1000) {
            minShare = std::min(minShare, share);
            maxShare = std::max(maxShare, share);
        }
    }
    CHECK(minShare > 0.45);
    CHECK(maxShare < 0.75);
    CHECK(unread / FORWARDED_PER_STEP * 10 < 300);
}
