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
    options.limit = LimitKind::Fixed;
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
    void announce(const std::string &run)
    {
        const Endpoint endpoint{ "127.0.0.1", 9000 };
        m_gates->announce(Announcement{ { SERVICE, 237, 1500, false }, endpoint, UpstreamId(run) });
    }
    void send(CallMessage call = {})
    {
        call.service = SERVICE;
        call.remaining = 2s;
        call.admittedShare = WHOLE_DEMAND;
        m_gates->handle(std::move(call), CallSource::Link, [this](const ResponseMessage &answer) {
            m_verdicts.push_back(answer.verdict);
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
