#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/noonceservice.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/noquarantine.h"
#include "app/tests/mocks/silentobservers.h"
#include "coordination/admission/gatefactory.h"
#include "protocol/headers.h"
#include "protocol/owndialects.h"
#include "state/internal/seededrandom.h"
#include "state/rank.h"
#include "state/tests/mocks/recordingdecisionlog.h"
#include "transport/ihttpclient.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName SERVICE("receipts");
const Priority IMPORTANT(90);
constexpr double SHED_SHARE = 0.45;

/// A server that refuses a share of its calls at random although it has capacity.
class SheddingServer : public IHttpClient
{
public:
    HttpResult exchange(const Endpoint & /*endpoint*/, const HttpRequest & /*request*/,
                        Duration /*timeout*/, HttpCancellationPtr /*cancellation*/) override
    {
        ++m_arrivals;
        if (m_onArrival) {
            m_onArrival();
        }
        if (m_isShedding && m_random.unit() < SHED_SHARE) {
            return HttpResponse{ 503, { { headers::UPSTREAM_OUTCOME, "not-run" } }, "" };
        }
        return HttpResponse{ 200, {}, "done" };
    }
    bool isListening(const Endpoint & /*endpoint*/) override { return true; }
    void setConnectionLimit(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }
    void preconnect(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }

    void startShedding() { m_isShedding = true; }
    int arrivals() const { return m_arrivals; }
    void setOnArrival(std::function<void()> onArrival) { m_onArrival = std::move(onArrival); }

private:
    SeededRandom m_random{ 7 };
    std::function<void()> m_onArrival;
    bool m_isShedding = false;
    int m_arrivals = 0;
};

std::unique_ptr<IGate> makeOpenGate(const UpstreamInfo & /*info*/)
{
    GateOptions options;
    options.limit = LimitKind::Fixed;
    return makeGate(options);
}

GateServiceOptions makeOptions(bool isEnabled)
{
    GateServiceOptions options;
    options.heartbeatTimeout = Duration::zero();
    options.retryBudget.isEnabled = isEnabled;
    options.retryBudget.ratio = 0.2;
    return options;
}

double inputOf(const Decision &decision, const std::string &name)
{
    for (const DecisionInput &input : decision.inputs) {
        if (name == input.name) {
            return input.value;
        }
    }
    return 0;
}

} // namespace

TEST_GROUP(RefusedCalls)
{
    InlineEventLoop m_loop;
    SheddingServer m_server;
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    NoQuarantine m_quarantine;
    SilentObservers m_observers;
    RecordingDecisionLog m_decisions;
    std::unique_ptr<IUpstreamDialect> m_dialect = makeOwnUpstreamDialect();
    std::unique_ptr<GateService> m_gates;
    ResponseMessage m_answer;

    void start(bool isEnabled)
    {
        m_gates = std::make_unique<GateService>(m_loop, m_server, m_random, m_once, m_quarantine,
                                                *m_dialect, makeOpenGate, observers(),
                                                makeOptions(isEnabled));
        m_gates->announce(Announcement{ { SERVICE, 49, 400, false }, { "127.0.0.1", 9000 }, {} });
    }

    Observers observers()
    {
        const Observers silent = m_observers.observers();
        return Observers{ silent.log, m_decisions, silent.metrics };
    }

    std::vector<Decision> sends() const
    {
        std::vector<Decision> sends;
        for (const Decision &decision : m_decisions.decisions()) {
            if (decision.kind == DecisionKind::Send) {
                sends.push_back(decision);
            }
        }
        return sends;
    }

    /// Returns whether the server answered the call.
    bool call()
    {
        CallMessage message;
        message.service = SERVICE;
        message.rank = makeRank(IMPORTANT, Depth(2), RootId(1));
        message.remaining = 700ms;
        message.admittedShare = WHOLE_DEMAND;
        m_gates->handle(std::move(message), CallSource::Link,
                        [this](ResponseMessage answer) { m_answer = std::move(answer); });
        return m_answer.verdict.outcome == Outcome::Answered;
    }

    /// Sends 50 requests per second with four calls each; returns the share whose calls were all
    /// answered.
    double successShare(Duration time)
    {
        int succeeded = 0;
        int trees = 0;
        for (Duration passed{ 0 }; passed < time; passed += 20ms, m_loop.advance(20ms)) {
            ++trees;
            succeeded += call() && call() && call() && call() ? 1 : 0;
        }
        return static_cast<double>(succeeded) / trees;
    }
};

// 1. A service four hops down refuses 45 % of its calls for six seconds although it has capacity.
// 2. Of the requests with four calls to it, nine in a hundred would succeed, after three services
//    had done their work for each of them. The gate on the server's host sends the refused calls
//    again, as the server reported them as not started, and callers get their answers.
TEST(RefusedCalls, RefusedCallsAreSentAgain)
{
    start(true);
    for (int i = 0; i < 10000; ++i, m_loop.advance(1ms)) {
        call();
    }
    m_server.startShedding();
    CHECK(successShare(6s) > 0.9);
}

TEST(RefusedCalls, WithoutRetryBudgetMostRequestsFail)
{
    start(false);
    successShare(10s);
    m_server.startShedding();
    CHECK(successShare(6s) < 0.2);
}

// Guards against a retry storm at a service that sheds load all the time: repeats are
// limited to a fifth of the calls.
TEST(RefusedCalls, RepeatsStayWithinTheBudget)
{
    start(true);
    m_server.startShedding();
    const int before = m_server.arrivals();
    int calls = 0;
    for (; calls < 20000; ++calls, m_loop.advance(1ms)) {
        call();
    }
    CHECK(m_server.arrivals() - before <= 1.2 * calls);
}

TEST(RefusedCalls, LossShareIsReportedWithTheAnswer)
{
    start(true);
    for (int i = 0; i < 1000; ++i, m_loop.advance(1ms)) {
        call();
    }
    CHECK(m_answer.usage.at(0).loss == LossShare(0));
    m_server.startShedding();
    for (int i = 0; i < 1000; ++i, m_loop.advance(1ms)) {
        call();
    }
    DOUBLES_EQUAL(450, m_answer.usage.at(0).loss.value(), 200);
}

// The server takes longer to refuse the call than its caller waits. The call is not sent again.
TEST(RefusedCalls, CallPastItsDeadlineIsNotSentAgain)
{
    start(true);
    for (int i = 0; i < 1000; ++i, m_loop.advance(1ms)) {
        call();
    }
    m_server.startShedding();
    m_server.setOnArrival([this] { m_loop.advance(800ms); });
    for (int i = 0; i < 10; ++i) {
        const int before = m_server.arrivals();
        call();
        CHECK_EQUAL(before + 1, m_server.arrivals());
    }
}

// Guards against a log in which several sends of a call to a server look like one.
TEST(RefusedCalls, EachSendIsLogged)
{
    start(true);
    for (int i = 0; i < 1000; ++i, m_loop.advance(1ms)) {
        call();
    }
    m_server.startShedding();
    const std::size_t before = sends().size();
    const int arrivals = m_server.arrivals();
    for (int i = 0; i < 100; ++i, m_loop.advance(1ms)) {
        call();
    }
    const std::vector<Decision> logged = sends();
    CHECK_EQUAL(m_server.arrivals() - arrivals, logged.size() - before);
    for (std::size_t i = before; i < logged.size(); ++i) {
        const bool isRepeat = inputOf(logged[i], "send") > 1;
        CHECK(!isRepeat || std::string(logged[i - 1].outcome) == "not-run");
        CHECK(!isRepeat || logged[i].importance == Importance::Essential);
    }
}
