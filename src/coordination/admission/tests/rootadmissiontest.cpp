#include "coordination/admission/internal/demandestimate.h"
#include "coordination/admission/irootadmission.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const ServiceName BOTTLENECK("narrow");
const ServiceName WIDE("wide");
const RootTarget BROWSING{ RuleName("browse"), WIDE, Priority(10) };
const RootTarget BOOKING{ RuleName("book"), WIDE, Priority(90) };
constexpr Duration STEP = std::chrono::milliseconds(5);

TreeUsage makeUsage(std::uint32_t bottleneckLoad)
{
    return { { WIDE, std::chrono::milliseconds(100), DemandLoad(300) },
             { BOTTLENECK, std::chrono::milliseconds(80), DemandLoad(bottleneckLoad) } };
}

} // namespace

TEST_GROUP(RootAdmission)
{
    TimePoint m_now{ std::chrono::seconds(10) };
    std::unique_ptr<IRootAdmission> m_admission = makeRootAdmission();

    /// Both rules send requests at the same rate for `seconds`; returns the admitted share of each
    /// in the last second.
    void run(int seconds, std::uint32_t bottleneckLoad, double &browsing, double &booking)
    {
        int let[2] = { 0, 0 };
        int asked = 0;
        const TimePoint end = m_now + std::chrono::seconds(seconds);
        for (; m_now < end; m_now += STEP) {
            const bool isCounted = m_now > end - std::chrono::seconds(1);
            asked += isCounted ? 1 : 0;
            const RootTarget *targets[2] = { &BROWSING, &BOOKING };
            for (int i = 0; i < 2; ++i) {
                const bool isAdmitted = m_admission->admit(m_now, *targets[i]);
                let[i] += isAdmitted && isCounted ? 1 : 0;
                if (isAdmitted) {
                    m_admission->onAttemptEnd(m_now, *targets[i], makeUsage(bottleneckLoad), true);
                    m_admission->onRequestEnd(*targets[i], RootResult::Success);
                }
            }
        }
        browsing = static_cast<double>(let[0]) / asked;
        booking = static_cast<double>(let[1]) / asked;
    }
};

TEST(RootAdmission, AdmitsAllRequestsWithinCapacity)
{
    double browsing = 0;
    double booking = 0;
    run(3, 900, browsing, booking);
    CHECK(browsing > 0.95);
    CHECK(booking > 0.95);
}

// 1. A service four hops down can take half of the demand.
// 2. The entry daemon admits that half: all requests of high priority and none of low priority.
//    Otherwise call trees of both would fail there, after all services above have worked for them.
TEST(RootAdmission, BottleneckLimitsAdmissionInOrderOfPriority)
{
    double browsing = 0;
    double booking = 0;
    run(4, 2000, browsing, booking);
    CHECK(booking > 0.95);
    CHECK(browsing < 0.1);
}

TEST(RootAdmission, RemainingCapacityGoesToTheNextPriority)
{
    double browsing = 0;
    double booking = 0;
    run(4, 1333, browsing, booking);
    CHECK(booking > 0.95);
    DOUBLES_EQUAL(0.5, browsing, 0.1);
}

// A rule must not be locked out for good: while nothing is admitted, no new load is reported.
TEST(RootAdmission, LoadWithoutNewReportsExpires)
{
    double browsing = 0;
    double booking = 0;
    run(4, 100000, browsing, booking);
    CHECK(browsing < 0.1);
    m_now += std::chrono::seconds(3);
    CHECK(m_admission->admit(m_now, BROWSING));
}

// 1. A service is full for two seconds and idle for three, repeatedly.
// 2. Each request carries the admitted share, from which the service computes the demand. If
//    admitted requests represented more than arrived, the demand would appear to grow while less is
//    admitted, and entry daemons and service would oscillate.
TEST(RootAdmission, AdmittedRequestsRepresentTheArrivalsWhileTheShareFalls)
{
    constexpr Duration GAP = std::chrono::milliseconds(100);
    double arrived = 0;
    double represented = 0;
    for (int i = 0; i < 2000; ++i, m_now += GAP) {
        // Full for two seconds, then lightly loaded for three.
        const std::uint32_t load = i % 50 < 20 ? 5000 : 300;
        ++arrived;
        if (m_admission->admit(m_now, BROWSING)) {
            represented += 1000.0 / m_admission->admittedShare(m_now, BROWSING).value();
            m_admission->onAttemptEnd(m_now, BROWSING, makeUsage(load), true);
            m_admission->onRequestEnd(BROWSING, RootResult::Success);
        }
    }
    CHECK(represented / arrived > 0.85);
    CHECK(represented / arrived < 1.15);
}

// A call that was attributed to the wrong request must not make its rule depend on a service.
TEST(RootAdmission, RarelyReachedServiceDoesNotLimitTheRule)
{
    const TreeUsage usual{ { WIDE, std::chrono::milliseconds(100), DemandLoad(300) } };
    for (int i = 0; i < 100; ++i) {
        m_admission->onAttemptEnd(m_now, BROWSING, i % 10 == 0 ? makeUsage(9000) : usual, true);
    }
    CHECK(m_admission->admit(m_now, BROWSING));
    CHECK(m_admission->admit(m_now, BROWSING));
    CHECK(m_admission->admit(m_now, BROWSING));
}

// 1. After a power failure no entry daemon knows the cost of a call tree, and the servers are still
//    slow.
// 2. If all requests were admitted, they would overload the bottleneck service: no call tree
//    completes, no cost is learned, and new requests fail in the same way.
// 3. A few requests at a time complete, and the others are refused immediately with a retry delay.
TEST(RootAdmission, WindowLimitsRequestsOfAnUnknownRule)
{
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += m_admission->admit(m_now, BROWSING) ? 1 : 0;
    }
    CHECK_EQUAL(2, admitted);
    CHECK(m_admission->admittedShare(m_now, BROWSING) < DemandShare(100));
    m_admission->onRequestEnd(BROWSING, RootResult::Success);
    CHECK(m_admission->admit(m_now, BROWSING));
    CHECK(m_admission->admit(m_now, BROWSING));
    CHECK_FALSE(m_admission->admit(m_now, BROWSING));
}

// 20 daemons share a large and a small service. Each admits its share of the small one for an
// unknown rule, since the rule may lead there.
TEST(RootAdmission, InitialWindowIsTheShareOfTheSmallestService)
{
    std::vector<Member> members(20);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].upstreams = { UpstreamInfo{ i < 4 ? BOTTLENECK : WIDE, 25, 100, false } };
    }
    m_admission->setMembers(members);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += m_admission->admit(m_now, BROWSING) ? 1 : 0;
    }
    CHECK_EQUAL(5, admitted);
}

// A daemon that has just started knows only itself. It must not claim all slots of its server, as
// the daemons that it has not discovered yet do the same.
TEST(RootAdmission, InitialWindowAssumesAMinimumNumberOfDaemons)
{
    std::vector<Member> members(1);
    members[0].upstreams = { UpstreamInfo{ WIDE, 160, 1000, false } };
    m_admission->setMembers(members);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += m_admission->admit(m_now, BROWSING) ? 1 : 0;
    }
    CHECK_EQUAL(10, admitted);
}

// A rule whose call trees all fail is still tried with one request at a time; otherwise it would be
// locked out for good.
TEST(RootAdmission, FailingUnknownRuleKeepsAWindowOfOne)
{
    for (int i = 0; i < 50; ++i) {
        CHECK(m_admission->admit(m_now, BROWSING));
        CHECK_EQUAL(i < 1, m_admission->admit(m_now, BROWSING));
        m_admission->onRequestEnd(BROWSING, RootResult::Failure);
        if (i < 1) {
            m_admission->onRequestEnd(BROWSING, RootResult::Failure);
        }
    }
}

// Callers that leave are no sign of overload and must not reduce the window.
TEST(RootAdmission, CallersThatLeaveDoNotReduceTheWindow)
{
    for (int i = 0; i < 50; ++i) {
        CHECK(m_admission->admit(m_now, BROWSING));
        CHECK(m_admission->admit(m_now, BROWSING));
        m_admission->onRequestEnd(BROWSING, RootResult::Ignored);
        m_admission->onRequestEnd(BROWSING, RootResult::Ignored);
    }
}

// 1. All hosts start at once. For a second no daemon knows the servers of the others.
// 2. Requests that end for lack of a server must not reduce the window; otherwise one request at a
//    time would be admitted once the servers are found, although all are idle.
TEST(RootAdmission, MissingServersDoNotReduceTheWindow)
{
    const Verdict noServer{ Outcome::NotRun, Reason::NoServer, Duration(0) };
    const Verdict notReached{ Outcome::NotRun, Reason::ConnectFailed, Duration(0) };
    for (const Verdict &verdict : { noServer, notReached, noServer, notReached }) {
        CHECK(m_admission->admit(m_now, BROWSING));
        m_admission->onRequestEnd(BROWSING, rootResultOf(verdict, 0));
    }
    CHECK(m_admission->admit(m_now, BROWSING));
    CHECK(m_admission->admit(m_now, BROWSING));
}

TEST(RootAdmission, ResultCountsOnlyIfAServerWasReached)
{
    const auto endOf = [](Outcome outcome, Reason reason, std::uint16_t status) {
        return rootResultOf(Verdict{ outcome, reason, Duration(0) }, status);
    };
    CHECK(endOf(Outcome::Answered, Reason::None, 200) == RootResult::Success);
    CHECK(endOf(Outcome::Answered, Reason::None, 500) == RootResult::Failure);
    CHECK(endOf(Outcome::NotRun, Reason::QueueFull, 0) == RootResult::Failure);
    CHECK(endOf(Outcome::Unknown, Reason::Timeout, 0) == RootResult::Failure);
    CHECK(endOf(Outcome::Unknown, Reason::LinkLost, 0) == RootResult::Failure);
    CHECK(endOf(Outcome::Unknown, Reason::Cancelled, 0) == RootResult::Ignored);
    CHECK(endOf(Outcome::NotRun, Reason::Draining, 0) == RootResult::Ignored);
}

TEST_GROUP(DemandEstimate)
{
    TimePoint m_now{ std::chrono::seconds(10) };
    DemandEstimate m_estimate{ DemandEstimateOptions() };

    /// A demand of 200 requests per second of 50 ms each for 20 slots, of which `admittedShare`
    /// thousandths arrive.
    DemandLoad run(std::uint32_t admittedShare)
    {
        for (int i = 0; i < 1000; ++i) {
            m_now += std::chrono::milliseconds(5);
            m_estimate.advance(m_now, 10.0 * admittedShare / 1000, 20);
            if (i * admittedShare / 1000 != (i + 1) * admittedShare / 1000) {
                m_estimate.onArrival(m_now, DemandShare(admittedShare),
                                     std::chrono::milliseconds(50));
            }
        }
        return m_estimate.load(m_now, 20);
    }
};

// If refusing more reduced the estimate, entry daemons would immediately admit more again, and the
// gate would alternate between overloaded and empty.
TEST(DemandEstimate, IsIndependentOfTheAdmittedShare)
{
    const double unrefused = run(1000).value();
    DOUBLES_EQUAL(10 / 19.0 * 1000, unrefused, 60);
    DOUBLES_EQUAL(unrefused, run(500).value(), 60);
    DOUBLES_EQUAL(unrefused, run(100).value(), 90);
}

// Call trees that fail early make fewer calls, so a full gate sees less than the demand.
TEST(DemandEstimate, OccupiedGateReportsAHigherLoad)
{
    for (int i = 0; i < 400; ++i) {
        m_now += std::chrono::milliseconds(5);
        m_estimate.advance(m_now, 40, 20);
        m_estimate.onArrival(m_now, WHOLE_DEMAND, std::chrono::milliseconds(50));
    }
    CHECK(m_estimate.load(m_now, 20) > FULL_LOAD);
}

// 1. Calls arrive in bursts at a gate with a capacity of 1.9 times the demand.
// 2. A burst briefly fills the queue. Entry daemons must not halve admission because of it: refused
//    calls return together and form the next burst.
TEST(DemandEstimate, ShortQueueRaisesTheEstimateSlightly)
{
    const double before = run(1000).value();
    for (int i = 0; i < 100; ++i) {
        m_now += std::chrono::milliseconds(5);
        m_estimate.advance(m_now, 60, 20);
        m_estimate.onArrival(m_now, WHOLE_DEMAND, std::chrono::milliseconds(50));
    }
    CHECK(m_estimate.load(m_now, 20).value() > before);
    CHECK(m_estimate.load(m_now, 20).value() < 1.3 * before);
}

// At full occupancy without a queue the estimate is correct and is not raised.
TEST(DemandEstimate, FullGateWithoutQueueIsNotCorrected)
{
    run(1000);
    const double before = m_estimate.load(m_now, 20).value();
    for (int i = 0; i < 400; ++i) {
        m_now += std::chrono::milliseconds(5);
        m_estimate.advance(m_now, 20, 20);
        m_estimate.onArrival(m_now, WHOLE_DEMAND, std::chrono::milliseconds(50));
    }
    DOUBLES_EQUAL(before, m_estimate.load(m_now, 20).value(), 0.02 * before);
}
