#include "coordination/admission/internal/demandestimate.h"
#include "coordination/admission/irootadmission.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const ServiceName NARROW("narrow");
const ServiceName WIDE("wide");
const RootTarget BROWSING{ RuleName("browse"), WIDE, Priority(10) };
const RootTarget BOOKING{ RuleName("book"), WIDE, Priority(90) };
constexpr Duration STEP = std::chrono::milliseconds(5);

TreeUsage makeUsage(std::uint32_t narrowLoad)
{
    return { { WIDE, std::chrono::milliseconds(100), DemandLoad(300) },
             { NARROW, std::chrono::milliseconds(80), DemandLoad(narrowLoad) } };
}

} // namespace

TEST_GROUP(RootAdmission)
{
    TimePoint m_now{ std::chrono::seconds(10) };
    std::unique_ptr<IRootAdmission> m_admission = makeRootAdmission();

    /// Both rules ask equally often for `seconds`; the share of each that is let in at the end.
    void run(int seconds, std::uint32_t narrowLoad, double &browsing, double &booking)
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
                    m_admission->onAttemptEnd(m_now, *targets[i], makeUsage(narrowLoad), true);
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

// 1. A service four hops down can take half of what is asked of it.
// 2. The entry lets in that half: of the unimportant requests none, of the important ones all.
//    Let in anyway, trees of both would fail there, after all services above had worked for them.
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

// No threshold may lock a route out: with nothing let in, nothing more is heard of the service.
TEST(RootAdmission, LoadWithoutNewReportsExpires)
{
    double browsing = 0;
    double booking = 0;
    run(4, 100000, browsing, booking);
    CHECK(browsing < 0.1);
    m_now += std::chrono::seconds(3);
    CHECK(m_admission->admit(m_now, BROWSING));
}

// 1. A service is full for two seconds and has room for three, again and again.
// 2. With each request goes the share that is let in, and the service works out from it what is
//    wanted. If the requests let in stood for more than arrived, the demand would seem to grow the
//    more the less is let in, and entries and service would swing.
TEST(RootAdmission, AdmittedRequestsRepresentTheArrivalsWhileTheShareFalls)
{
    constexpr Duration GAP = std::chrono::milliseconds(100);
    double arrived = 0;
    double represented = 0;
    for (int i = 0; i < 2000; ++i, m_now += GAP) {
        // Full for two seconds, then without a load for three.
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

// An inner call that was booked to the wrong request must not make its rule depend on a service.
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

// 1. All hosts lose power. When they are back, no entry knows what a tree costs, and the servers
// are
//    still slow.
// 2. Let in at once, the requests of all entries overrun the narrow service: no tree is whole, so
//    nothing is learnt, and each new request meets the same.
// 3. A few at a time are whole, and the rest hears at once when to come back.
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

// 20 daemons share a wide and a narrow service. Of a rule that is not known yet, each lets in its
// part of the narrow one: it may lead there.
TEST(RootAdmission, InitialWindowIsTheShareOfTheSmallestService)
{
    std::vector<Member> members(20);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].upstreams = { UpstreamInfo{ i < 4 ? NARROW : WIDE, 25, 100, false } };
    }
    m_admission->setMembers(members);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += m_admission->admit(m_now, BROWSING) ? 1 : 0;
    }
    CHECK_EQUAL(5, admitted);
}

// A daemon that has just started knows of itself alone. It must not take all slots of its server
// for its own part: the others, which it does not know yet, do the same.
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

// A rule whose trees all fail is tried by one request at a time: never by none, or it would be
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

// Callers who leave say nothing of the services: their leaving must not close the window.
TEST(RootAdmission, CallersThatLeaveDoNotReduceTheWindow)
{
    for (int i = 0; i < 50; ++i) {
        CHECK(m_admission->admit(m_now, BROWSING));
        CHECK(m_admission->admit(m_now, BROWSING));
        m_admission->onRequestEnd(BROWSING, RootResult::Ignored);
        m_admission->onRequestEnd(BROWSING, RootResult::Ignored);
    }
}

// 1. All hosts come back at once. For a second no daemon knows a server of the others.
// 2. Requests that end for want of one must not close the window: when the servers are found, all
//    are idle, and one request at a time would be let in.
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

    /// 200 requests a second are wanted, of 50 ms each, of 20 slots; `admittedShare` thousandths
    /// come.
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

// If entries that refuse more made the demand look smaller, they would open again at once, and the
// gate would be overrun and empty by turns.
TEST(DemandEstimate, IsIndependentOfTheAdmittedShare)
{
    const double whole = run(1000).value();
    DOUBLES_EQUAL(10 / 19.0 * 1000, whole, 60);
    DOUBLES_EQUAL(whole, run(500).value(), 60);
    DOUBLES_EQUAL(whole, run(100).value(), 90);
}

// Trees that fail half way make fewer calls: a gate that is full sees less than the demand.
TEST(DemandEstimate, OccupiedGateReportsAHigherLoad)
{
    for (int i = 0; i < 400; ++i) {
        m_now += std::chrono::milliseconds(5);
        m_estimate.advance(m_now, 40, 20);
        m_estimate.onArrival(m_now, WHOLE_DEMAND, std::chrono::milliseconds(50));
    }
    CHECK(m_estimate.load(m_now, 20) > FULL_LOAD);
}

// 1. A gate can take nine tenths more than it is asked for by chance calls that come in clumps.
// 2. One clump fills its queue for a moment. What entries let in must not fall to half for it:
// calls
//    that were refused come back together and make the next clump.
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

// A gate that works at just what it can take is right: the demand is not raised until a queue
// stands there.
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
