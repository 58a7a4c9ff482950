#include <map>
#include <memory>
#include <stdexcept>

#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/noonceservice.h"
#include "app/tests/mocks/lateeventloop.h"
#include "app/tests/mocks/noquarantine.h"
#include "app/tests/mocks/silentobservers.h"
#include "coordination/admission/gatefactory.h"
#include "protocol/headers.h"
#include "protocol/owndialects.h"
#include "state/internal/seededrandom.h"
#include "state/metricsfactory.h"
#include "state/rank.h"
#include "state/tests/mocks/recordingdecisionlog.h"
#include "transport/transportfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

/// Records the connection limits that are set; every exchange fails to connect.
class LimitRecorder : public IHttpClient
{
public:
    HttpResult exchange(const Endpoint & /*endpoint*/, const HttpRequest & /*request*/,
                        Duration /*timeout*/, HttpCancellationPtr /*cancellation*/) override
    {
        ++m_exchanges;
        return tl::unexpected<HttpFailure>(
            HttpFailure{ HttpFailureStage::NotSent, HttpFailureCause::Connect, "unreachable" });
    }
    bool isListening(const Endpoint & /*endpoint*/) override { return true; }
    void setConnectionLimit(const Endpoint &endpoint, std::size_t connections) override
    {
        m_limits[endpoint] = connections;
    }
    void preconnect(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }

    std::size_t limitOf(const Endpoint &endpoint) { return m_limits[endpoint]; }
    std::size_t exchanges() const { return m_exchanges; }

private:
    std::map<Endpoint, std::size_t> m_limits;
    std::size_t m_exchanges = 0;
};

/// A server that states the same notice in all its responses.
class StatingServer : public LimitRecorder
{
public:
    HttpResult exchange(const Endpoint & /*endpoint*/, const HttpRequest & /*request*/,
                        Duration /*timeout*/, HttpCancellationPtr /*cancellation*/) override
    {
        return HttpResponse{ 200, headers, "done" };
    }

    std::vector<HttpHeader> headers;
};

class ThrowingClient : public LimitRecorder
{
public:
    HttpResult exchange(const Endpoint & /*endpoint*/, const HttpRequest & /*request*/,
                        Duration /*timeout*/, HttpCancellationPtr /*cancellation*/) override
    {
        throw std::runtime_error("expected by the test");
    }
};

class NoLog : public ILog
{
public:
    void write(LogLevel /*level*/, std::string /*text*/) override { }
};

std::unique_ptr<IGate> makeDefaultGate(const UpstreamInfo & /*info*/)
{
    return makeGate(GateOptions{});
}

} // namespace

TEST_GROUP(GateService)
{
    std::unique_ptr<IEventLoop> m_loop = makeEventLoop();
    LimitRecorder m_client;
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    NoQuarantine m_quarantine;
    std::unique_ptr<IUpstreamDialect> m_dialect = makeOwnUpstreamDialect();
    NoLog m_log;
    RecordingDecisionLog m_decisions;
    std::unique_ptr<IMetrics> m_metrics = makeMetrics();
    std::unique_ptr<GateService> m_gates = std::make_unique<GateService>(
        *m_loop, m_client, m_random, m_once, m_quarantine, *m_dialect, makeDefaultGate,
        Observers{ m_log, m_decisions, *m_metrics }, GateServiceOptions{});
};

// Guards against requests that are refused although the server is idle: a server that is restarted
// with the same capacity on another port must not get the default limit of an unknown endpoint.
TEST(GateService, ServerOnNewPortKeepsItsConnectionLimit)
{
    const UpstreamInfo info{ ServiceName("cassa"), 300, 2000, false };
    const Endpoint before{ "127.0.0.1", 9000 };
    const Endpoint after{ "127.0.0.1", 9001 };
    m_gates->announce(Announcement{ info, before, {} });
    CHECK_EQUAL(2000, m_client.limitOf(before));
    m_gates->announce(Announcement{ info, after, {} });
    CHECK_EQUAL(2000, m_client.limitOf(after));
}

// 1. A daemon is about to stop while its server continues to run. It accepts calls that end before
//    the daemon does: refusing all would make the server unavailable for seconds.
// 2. A call with a later deadline would be cut off, so it is refused at once as not run.
TEST(GateService, StoppingDaemonAcceptsOnlyCallsThatEndInTime)
{
    const ServiceName service("cassa");
    m_gates->announce(Announcement{ { service, 300, 2000, false }, { "127.0.0.1", 9000 }, {} });
    m_gates->startLeaving(m_loop->now() + std::chrono::seconds(5));
    std::vector<Verdict> verdicts;
    const auto send = [&](Duration remaining) {
        CallMessage call;
        call.service = service;
        call.remaining = remaining;
        m_gates->handle(std::move(call), CallSource::Link,
                        [&](const ResponseMessage &answer) { verdicts.push_back(answer.verdict); });
    };
    send(std::chrono::milliseconds(700));
    CHECK(verdicts.empty());
    CHECK_EQUAL(1, m_gates->callCount());
    CHECK_FALSE(m_gates->load(service).draining);
    send(std::chrono::seconds(6));
    CHECK(m_gates->load(service).draining);
    CHECK_EQUAL(1, verdicts.size());
    CHECK(verdicts.front().outcome == Outcome::NotRun);
    CHECK(verdicts.front().reason == Reason::Draining);
}

// Guards against an exception that takes a slot and leaves the call without an answer.
TEST(GateService, CallThatAnExceptionEndsIsAnsweredAsUnknown)
{
    ThrowingClient client;
    GateService gates(*m_loop, client, m_random, m_once, m_quarantine, *m_dialect, makeDefaultGate,
                      Observers{ m_log, m_decisions, *m_metrics }, GateServiceOptions{});
    std::vector<std::string> failures;
    m_loop->setFailureHandler([&](const std::string &text) { failures.push_back(text); });
    const ServiceName service("cassa");
    gates.announce(Announcement{ { service, 1, 8, false }, { "127.0.0.1", 9000 }, {} });
    std::vector<Verdict> verdicts;
    m_loop->spawn([&] {
        CallMessage call;
        call.service = service;
        call.remaining = std::chrono::seconds(1);
        gates.handle(std::move(call), CallSource::Link, [&](const ResponseMessage &answer) {
            verdicts.push_back(answer.verdict);
            m_loop->stop();
        });
    });
    m_loop->run();
    CHECK_EQUAL(1, failures.size());
    CHECK_EQUAL(1, verdicts.size());
    CHECK(verdicts.front().outcome == Outcome::Unknown);
    CHECK_EQUAL(0, gates.callCount());
    CHECK_EQUAL(0, gates.load(service).inFlight);
}

// Guards against refusals of which operators cannot see in whose favour they were.
TEST(GateService, RefusalNamesTheCallThatIsKeptInstead)
{
    const ServiceName service("cassa");
    m_gates->announce(Announcement{ { service, 1, 8, false }, { "127.0.0.1", 9000 }, {} });
    const auto send = [&](int priority, std::uint64_t root, const char *rule) {
        CallMessage call;
        call.service = service;
        call.root = RootId(root);
        call.rule = RuleName(rule);
        call.rank = makeRank(Priority(static_cast<std::uint8_t>(priority)), Depth(0), RootId(root));
        call.remaining = std::chrono::seconds(5);
        call.objectiveLeft = std::chrono::seconds(1);
        m_gates->handle(std::move(call), CallSource::Link, [](const ResponseMessage &) {});
    };
    std::uint64_t last = 0;
    while (m_decisions.decisions().empty()
           || m_decisions.decisions().back().kind != DecisionKind::Refuse) {
        send(50, ++last, "status");
    }
    send(90, 1000, "notice");
    const Decision &refusal = m_decisions.decisions().back();
    CHECK(refusal.kind == DecisionKind::Refuse);
    STRCMP_EQUAL("queue-full", refusal.reason);
    STRCMP_EQUAL("00000000000003e8", refusal.choice.c_str());
    STRCMP_EQUAL("in favour of rule notice, priority 90", refusal.detail.c_str());
    STRCMP_EQUAL("slack_ms", refusal.inputs.back().name);
    CHECK(refusal.inputs.back().value > 0);
    CHECK(m_metrics->text().find("ivyspar_gate_displacements_total 1") != std::string::npos);
    CHECK_EQUAL(m_gates->load(service).queued, m_gates->statuses().front().queuedOnTime);
}

TEST_GROUP(GateServiceNotices)
{
    InlineEventLoop m_loop;
    StatingServer m_server;
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    NoQuarantine m_quarantine;
    std::unique_ptr<IUpstreamDialect> m_dialect = makeOwnUpstreamDialect();
    NoLog m_log;
    RecordingDecisionLog m_decisions;
    std::unique_ptr<IMetrics> m_metrics = makeMetrics();
    GateService m_gates{ m_loop,
                         m_server,
                         m_random,
                         m_once,
                         m_quarantine,
                         *m_dialect,
                         makeDefaultGate,
                         Observers{ m_log, m_decisions, *m_metrics },
                         GateServiceOptions{} };

    void send(RootId root)
    {
        m_gates.announce(
            Announcement{ { ServiceName("cassa"), 300, 2000, false }, { "127.0.0.1", 9000 }, {} });
        CallMessage call;
        call.root = root;
        call.service = ServiceName("cassa");
        call.remaining = std::chrono::seconds(5);
        m_gates.handle(std::move(call), CallSource::Link, [](const ResponseMessage &) {});
        m_loop.advance(std::chrono::milliseconds(100));
    }
    std::vector<Decision> upstreamDecisions() const
    {
        std::vector<Decision> found;
        for (const Decision &decision : m_decisions.decisions()) {
            if (decision.kind == DecisionKind::Upstream) {
                found.push_back(decision);
            }
        }
        return found;
    }
};

// Guards against operators who cannot see that a server has stated a limit, and in which response.
TEST(GateServiceNotices, ChangesAreLoggedWithTheRequest)
{
    m_server.headers = { { headers::UPSTREAM_RATE_LIMIT, "55" } };
    send(RootId(1));
    send(RootId(2));
    m_server.headers.clear();
    send(RootId(3));
    const std::vector<Decision> lines = upstreamDecisions();
    CHECK_EQUAL(2, lines.size());
    CHECK(lines[0].root == RootId(1));
    STRCMP_EQUAL("rate-limited", lines[0].outcome);
    DOUBLES_EQUAL(55, lines[0].inputs[0].value, 0);
    CHECK(lines[1].root == RootId(3));
    STRCMP_EQUAL("rate-limit-lifted", lines[1].outcome);
    CHECK(m_metrics->text().find("ivyspar_notice_changes_total 2") != std::string::npos);
}

// Guards against a log that a server fills by stating nonsense in every response.
TEST(GateServiceNotices, MalformedLimitIsLoggedOnce)
{
    m_server.headers = { { headers::UPSTREAM_RATE_LIMIT, "many" } };
    for (std::uint64_t i = 1; i <= 50; ++i) {
        send(RootId(i));
    }
    CHECK_EQUAL(1, upstreamDecisions().size());
    CHECK(m_metrics->text().find("ivyspar_notices_malformed_total 50") != std::string::npos);
}

// Guards against operators who cannot see what a server says of itself, and what of it is heeded.
TEST(GateServiceNotices, StatedLoadIsShown)
{
    m_server.headers = { { headers::UPSTREAM_LOAD, "7,2,300,250" } };
    send(RootId(1));
    m_loop.advance(std::chrono::milliseconds(100));
    const GateStatus status = m_gates.statuses().at(0);
    CHECK_EQUAL(7, status.stated->load.running);
    CHECK(status.stated->load.workTime == WorkTimePercent(250));
    CHECK(status.stated->age >= std::chrono::milliseconds(100));
    CHECK(status.load.speed > SpeedShare(400));
    CHECK(status.load.speed < SpeedShare(700));
    const HttpResponse health{ 200, { { headers::UPSTREAM_LOAD, "0,0,300,100" } }, {} };
    m_gates.onHealthResponse(ServiceName("cassa"), UpstreamRun(), m_loop.now(), health);
    CHECK(m_gates.load(ServiceName("cassa")).speed == USUAL_SPEED);
    CHECK(m_metrics->text().find("ivyspar_load_statements_total{result=\"read\"} 2")
          != std::string::npos);
}

// Guards against a log that a server fills by stating nonsense in every response.
TEST(GateServiceNotices, BadLoadIsLoggedOnce)
{
    for (const char *text : { "7,2", "9,2,8,100" }) {
        m_server.headers = { { headers::UPSTREAM_LOAD, text } };
        send(RootId(1));
        send(RootId(2));
    }
    const std::vector<Decision> lines = upstreamDecisions();
    CHECK_EQUAL(2, lines.size());
    STRCMP_EQUAL("malformed-load", lines[0].outcome);
    STRCMP_EQUAL("implausible-load", lines[1].outcome);
    const std::string text = m_metrics->text();
    CHECK(text.find("ivyspar_load_statements_total{result=\"malformed\"} 2") != std::string::npos);
    CHECK(text.find("ivyspar_load_statements_total{result=\"ignored\"} 2") != std::string::npos);
    CHECK(m_gates.load(ServiceName("cassa")).speed == SpeedShare());
}

TEST_GROUP(GateServiceUnderLag)
{
    LateEventLoop m_loop;
    LimitRecorder m_client;
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    NoQuarantine m_quarantine;
    std::unique_ptr<IUpstreamDialect> m_dialect = makeOwnUpstreamDialect();
    SilentObservers m_observers;
    std::unique_ptr<GateService> m_gates;
    std::vector<Verdict> m_verdicts;

    void setup() override
    {
        GateServiceOptions options;
        options.compensatesLoopLag = true;
        m_gates = std::make_unique<GateService>(m_loop, m_client, m_random, m_once, m_quarantine,
                                                *m_dialect, makeDefaultGate,
                                                m_observers.observers(), options);
        m_gates->announce(
            Announcement{ { ServiceName("cassa"), 300, 2000, false }, { "127.0.0.1", 9000 }, {} });
    }
    void send(Duration remaining, CallSource source = CallSource::Link)
    {
        CallMessage call;
        call.service = ServiceName("cassa");
        call.remaining = remaining;
        m_gates->handle(std::move(call), source, [this](const ResponseMessage &answer) {
            m_verdicts.push_back(answer.verdict);
        });
    }
};

// Guards against calls that are read after their deadline and run although their callers have left.
TEST(GateServiceUnderLag, CallReadAfterItsDeadlineIsNotRun)
{
    m_loop.setLateness(std::chrono::milliseconds(800));
    for (int i = 0; i < 10; ++i) {
        send(std::chrono::seconds(5));
        m_loop.advance(std::chrono::milliseconds(100));
    }
    const std::size_t before = m_client.exchanges();
    send(std::chrono::milliseconds(700));
    CHECK_EQUAL(before, m_client.exchanges());
    CHECK(m_verdicts.back().outcome == Outcome::NotRun);
    send(std::chrono::seconds(5));
    CHECK_EQUAL(before + 1, m_client.exchanges());
}

// Guards against subtracting the lag twice, at the entry and at the gate of the same daemon.
TEST(GateServiceUnderLag, LagIsNotSubtractedAgainFromLocalCalls)
{
    m_loop.setLateness(std::chrono::milliseconds(800));
    for (int i = 0; i < 10; ++i) {
        send(std::chrono::seconds(5));
        m_loop.advance(std::chrono::milliseconds(100));
    }
    const std::size_t before = m_client.exchanges();
    send(std::chrono::milliseconds(700), CallSource::ThisDaemon);
    CHECK_EQUAL(before + 1, m_client.exchanges());
}
