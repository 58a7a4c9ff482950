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

// Demand that entry daemons refuse counts; otherwise the load would fall as soon as they refuse,
// and they would immediately admit more again.
TEST(ProcessorLoad, LoadIncludesTheDemandThatEntriesRefuse)
{
    DOUBLES_EQUAL(4, run(1000, 0.25, 80ms), 0.2);
}

// 1. A bottleneck service elsewhere has capacity for a tenth of the demand, or entry daemons have
//    just started and admit a few requests at a time; they refuse the rest.
// 2. The daemon keeps up. If it reported the refused demand as its own load, all rules that lead
//    here would be limited for seconds after there is capacity again.
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

// 1. A daemon that can forward 600 calls per second gets 1,000; the backlog of unread calls grows.
// 2. Entry daemons admit 1 / load of the demand. Within seconds this matches the forwarding
//    capacity, with a lag of about 0.1 s and without oscillation.
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
