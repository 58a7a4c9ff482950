#include <algorithm>
#include <memory>
#include <vector>

#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/noonceservice.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/noquarantine.h"
#include "app/tests/mocks/ratelimitedserver.h"
#include "app/tests/mocks/silentobservers.h"
#include "coordination/admission/gatefactory.h"
#include "protocol/owndialects.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName SERVICE("catalogo");

std::unique_ptr<IGate> makeOpenGate(const UpstreamInfo & /*info*/)
{
    GateOptions options;
    options.initialShare = 1;
    return makeGate(options);
}

} // namespace

TEST_GROUP(RateLimitedServer)
{
    InlineEventLoop m_loop;
    RateLimitedServer m_server{ m_loop };
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    NoQuarantine m_quarantine;
    SilentObservers m_observers;
    std::unique_ptr<IUpstreamDialect> m_dialect = makeOwnUpstreamDialect();
    std::unique_ptr<GateService> m_gates;
    std::vector<Verdict> m_verdicts;
    std::optional<UpstreamNotice> m_lastNotice;

    void setup() override
    {
        restart();
    }
    /// The daemon starts anew and knows nothing of the server but its announcement.
    void restart()
    {
        m_gates = std::make_unique<GateService>(m_loop, m_server, m_random, m_once, m_quarantine,
                                                *m_dialect, makeOpenGate, m_observers.observers(),
                                                GateServiceOptions{});
        announce("i-1");
    }
    void announce(const std::string &run, std::uint64_t start = 0)
    {
        const Endpoint endpoint{ "127.0.0.1", 9000 };
        m_gates->announce(Announcement{
            { SERVICE, 237, 1500, false }, endpoint, UpstreamId(run), UpstreamStart(start) });
    }
    void send(CallMessage call = {})
    {
        call.service = SERVICE;
        call.remaining = 2s;
        call.admittedShare = WHOLE_DEMAND;
        m_gates->handle(std::move(call), CallSource::Link, [this](const ResponseMessage &answer) {
            m_verdicts.push_back(answer.verdict);
            m_lastNotice = answer.notice;
        });
    }
    void sendFor(Duration length, Duration gap)
    {
        for (Duration passed = 0us; passed < length; passed += gap) {
            announce("i-1");
            send();
            m_loop.advance(gap);
        }
    }
};

// Guards against a server that states a rate limit and gets all requests that its slots allow.
TEST(RateLimitedServer, GetsNoMoreThanItStates)
{
    m_server.stateLimit("20");
    sendFor(20s, 3ms);
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 20));
}

TEST(RateLimitedServer, GetsNearlyAllThatItStates)
{
    m_server.stateLimit("20");
    sendFor(20s, 3ms);
    CHECK(m_server.arrivals() >= 380);
}

// Guards against repeats of refused calls that are sent beside the limit.
TEST(RateLimitedServer, RepeatsOfRefusedCallsCount)
{
    m_server.stateLimit("5");
    m_server.refuseAll();
    sendFor(20s, 3ms);
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 5));
}

// Guards against health checks that are sent beside the limit.
TEST(RateLimitedServer, HealthChecksCount)
{
    m_server.stateLimit("0");
    sendFor(3s, 3ms);
    const std::size_t before = m_server.arrivals();
    CHECK(m_gates->reserveHealthCheck(SERVICE, { UpstreamId("i-1") }) > Duration::zero());
    CHECK(m_gates->reserveHealthCheck(SERVICE, { UpstreamId("i-1") }) >= Duration(2s));
    sendFor(4s, 3ms);
    CHECK_EQUAL(before, m_server.arrivals());
    CHECK(m_gates->reserveHealthCheck(SERVICE, { UpstreamId("i-2") }) == Duration::zero());
}

// Guards against tokens that accumulate while the process is stopped or nobody calls.
TEST(RateLimitedServer, GetsNoBurstAfterAnIdleTime)
{
    m_server.stateLimit("20");
    sendFor(1s, 3ms);
    m_loop.advance(1h);
    sendFor(8s, 3ms);
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 20));
}

TEST(RateLimitedServer, GetsSingleRequestsAtALimitOfZero)
{
    m_server.stateLimit("0");
    sendFor(40s, 3ms);
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 0));
    CHECK(m_server.arrivals() >= 15);
}

// Guards against a server that stays limited although its responses state no limit any more.
TEST(RateLimitedServer, GetsAllCallsOnceTheLimitIsLifted)
{
    m_server.stateLimit("0");
    sendFor(10s, 3ms);
    m_server.liftLimit();
    sendFor(2100ms, 3ms);
    const TimePoint start = m_loop.now();
    sendFor(999ms, 3ms);
    CHECK_EQUAL(333, m_server.arrivalsSince(start));
}

TEST(RateLimitedServer, MayChangeItsLimitWithEveryResponse)
{
    m_server.stateLimit("30");
    for (int i = 0; i < 400; ++i) {
        sendFor(50ms, 3ms);
        m_server.stateLimit(i % 2 == 0 ? "10" : "30");
    }
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 20));
    CHECK(m_server.arrivals() >= 200);
}

TEST(RateLimitedServer, MalformedLimitKeepsTheFormerOne)
{
    m_server.stateLimit("20");
    sendFor(1s, 3ms);
    m_server.stateLimits({ "20", "900" });
    sendFor(4s, 3ms);
    m_server.stateLimit("1e9");
    sendFor(8s, 3ms);
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 20));
}

TEST(RateLimitedServer, StatesItsLimitInErrorsToo)
{
    m_server.stateLimit("20");
    m_server.setStatus(500);
    sendFor(8s, 3ms);
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 20));
}

// Guards against another run at the same address that is held to the limit of the one before it.
TEST(RateLimitedServer, NextRunBeginsWithoutLimit)
{
    m_server.stateLimit("0");
    sendFor(1s, 3ms);
    m_server.liftLimit();
    announce("i-2");
    const std::size_t before = m_server.arrivals();
    for (int i = 0; i < 100; ++i) {
        send();
    }
    CHECK_EQUAL(before + 100, m_server.arrivals());
}

// Guards against callers that are told to return before there can be room for them.
TEST(RateLimitedServer, RefusedCallersAreToldWhenThereIsRoom)
{
    m_server.stateLimit("0");
    send();
    send();
    CHECK(m_verdicts.back().outcome == Outcome::NotRun);
    CHECK(m_verdicts.back().reason == Reason::RateLimited);
    CHECK(m_verdicts.back().retryAfter >= Duration(2s));
}

// Guards against a concurrency limit that falls because a server refuses what exceeds its rate.
TEST(RateLimitedServer, RefusalsDoNotLowerTheConcurrencyLimit)
{
    const std::uint32_t before = m_gates->load(SERVICE).limit;
    m_server.stateLimit("20");
    sendFor(1s, 3ms);
    m_server.refuseAll();
    sendFor(10s, 3ms);
    CHECK_EQUAL(before, m_gates->load(SERVICE).limit);
}

TEST(RateLimitedServer, DemandBeyondTheLimitIsReportedAsLoad)
{
    m_server.stateLimit("20");
    sendFor(10s, 5ms);
    const double load = m_gates->load(SERVICE).demand.value();
    CHECK(load > 9000);
    CHECK(load < 11000);
}

// Guards against calls that are sent to a server after a response in which it said that it leaves.
TEST(RateLimitedServer, GetsNothingAfterItSaidThatItLeaves)
{
    sendFor(1s, 10ms);
    m_server.stateLeaving();
    send();
    const std::size_t before = m_server.arrivals();
    sendFor(5s, 10ms);
    CHECK_EQUAL(before, m_server.arrivals());
    CHECK(m_verdicts.back().outcome == Outcome::NotRun);
}

// Guards against a daemon that forgets a server's shutdown when the server is not announced for a
// while.
TEST(RateLimitedServer, StaysLeavingWhenItIsAnnouncedAgain)
{
    m_server.stateLeaving();
    send();
    m_server.stopLeaving();
    m_loop.advance(10s);
    const std::size_t before = m_server.arrivals();
    sendFor(1s, 10ms);
    CHECK_EQUAL(before, m_server.arrivals());
    CHECK(m_gates->load(SERVICE).draining);
}

// Guards against a server that gets no calls any more because a run with its id has left.
TEST(RateLimitedServer, NextRunWithTheSameIdIsNotLeaving)
{
    announce("i-1", 7);
    m_server.stateLeaving();
    send();
    m_server.stopLeaving();
    announce("i-1", 8);
    const std::size_t before = m_server.arrivals();
    send();
    CHECK_EQUAL(before + 1, m_server.arrivals());
    announce("i-1", 7);
    send();
    CHECK_EQUAL(before + 1, m_server.arrivals());
}

// Guards against calls that wait at a leaving server until they are too late for another one.
TEST(RateLimitedServer, WaitingCallsAreRefusedWhenItLeaves)
{
    m_server.stateLimit("20");
    send();
    m_loop.advance(1s);
    m_server.stateLeaving();
    for (int i = 0; i < 20; ++i) {
        send();
    }
    CHECK_EQUAL(0, m_gates->callCount());
    CHECK(m_verdicts.back().outcome == Outcome::NotRun);
}

// Guards against a daemon that returns after a kill and sends at full rate to a server whose limit
// the entry daemons have passed on.
TEST(RateLimitedServer, LimitHoldsAfterARestartOfTheDaemon)
{
    m_server.stateLimit("5");
    sendFor(4s, 3ms);
    const std::optional<UpstreamNotice> known = m_lastNotice;
    CHECK(known && known->rateLimit == RequestRate(5000));
    m_server.stopAnswering();
    for (int i = 0; i < 5; ++i) {
        restart();
        CallMessage call;
        call.notice = known;
        send(std::move(call));
        sendFor(500ms, 3ms);
    }
    CHECK(m_server.maxArrivalsIn(4s) <= maxAllowedIn(4s, 5));
}

TEST(RateLimitedServer, ShutdownHoldsAfterARestartOfTheDaemon)
{
    m_server.stateLeaving();
    send();
    CallMessage call;
    call.notice = m_lastNotice;
    restart();
    const std::size_t before = m_server.arrivals();
    send(std::move(call));
    CHECK_EQUAL(before, m_server.arrivals());
    CHECK(m_gates->load(SERVICE).draining);
}

// Guards against the notice of an ended run that is applied to the run after it.
TEST(RateLimitedServer, NoticeOfAnotherRunIsNotApplied)
{
    CallMessage call;
    call.notice = UpstreamNotice{ UpstreamRunName("i-0"), RequestRate(0), true };
    for (int i = 0; i < 10; ++i) {
        send(call);
    }
    CHECK_EQUAL(10, m_server.arrivals());
}

// Guards against entry daemons that forget a limit because of a daemon that does not know it yet.
TEST(RateLimitedServer, RestartedDaemonStatesNoNoticeBeforeItKnowsIt)
{
    m_gates->startDraining();
    send();
    CHECK_FALSE(m_lastNotice.has_value());
}

TEST(RateLimitedServer, NextRunIsNotLeaving)
{
    m_server.stateLeaving();
    send();
    m_server.stopLeaving();
    announce("i-2");
    const std::size_t before = m_server.arrivals();
    send();
    CHECK_EQUAL(before + 1, m_server.arrivals());
    CHECK_FALSE(m_gates->load(SERVICE).draining);
}
