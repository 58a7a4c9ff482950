#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/noonceservice.h"
#include "app/tests/mocks/fakequarantine.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/silentobservers.h"
#include "coordination/admission/gatefactory.h"
#include "protocol/headers.h"
#include "protocol/owndialects.h"
#include "state/fingerprint.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/mocks/mockhttpclient.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const ServiceName SERVICE("catalogo");
const UpstreamRun RUN{ UpstreamId("i-1"), UpstreamStart(1000) };

std::unique_ptr<IGate> makeOpenGate(const UpstreamInfo & /*info*/)
{
    GateOptions options;
    options.limit = LimitKind::Fixed;
    return makeGate(options);
}

HttpRequest makeRequest(const std::string &path)
{
    return HttpRequest{ "GET", path, {}, {} };
}

Fingerprint fingerprintOfPath(const std::string &path)
{
    return fingerprintOf(AccountName(), makeRequest(path));
}

} // namespace

TEST_GROUP(GateSuspects)
{
    InlineEventLoop m_loop;
    MockHttpClient m_client;
    SeededRandom m_random{ 1 };
    NoOnceService m_once;
    FakeQuarantine m_quarantine;
    SilentObservers m_observers;
    std::unique_ptr<IUpstreamDialect> m_dialect = makeOwnUpstreamDialect();
    std::unique_ptr<GateService> m_gates;
    std::vector<Verdict> m_verdicts;

    void setup() override
    {
        makeGates({});
    }
    void makeGates(const GateServiceOptions &options)
    {
        m_gates = std::make_unique<GateService>(m_loop, m_client, m_random, m_once, m_quarantine,
                                                *m_dialect, makeOpenGate, m_observers.observers(),
                                                options);
        announce(false);
    }
    void announce(bool isDraining, const UpstreamRun &run = RUN)
    {
        UpstreamInfo info{ SERVICE, 50, 400, isDraining };
        info.version = UpstreamVersion("v1");
        m_gates->announce(Announcement{ info, { "127.0.0.1", 9000 }, run });
    }
    CallId call(const std::string &path)
    {
        CallMessage message;
        message.service = SERVICE;
        message.remaining = 2s;
        message.request = makeRequest(path);
        return m_gates->handle(
            std::move(message), CallSource::Link,
            [this](const ResponseMessage &answer) { m_verdicts.push_back(answer.verdict); });
    }
    static HttpResult makeCut()
    {
        HttpFailure failure{ HttpFailureStage::MaybeSent, HttpFailureCause::Broken, "mock" };
        failure.hasConnectionEnded = true;
        return tl::unexpected<HttpFailure>(failure);
    }
    /// The server closes its connection during the next answer.
    void cutNextAnswer(bool isServerUp)
    {
        m_client.isUp = isServerUp;
        m_client.results.push_back(makeCut());
    }
    /// The server is withdrawn and ends during a call.
    void endServerDuringCall(bool isPlanned)
    {
        m_client.answer = [this, isPlanned](const MockHttpClient::Call &) {
            m_gates->withdraw(SERVICE, RUN, isPlanned);
            m_client.isUp = false;
            return makeCut();
        };
        call("/a");
    }
};

TEST(GateSuspects, CrashIsReportedWithTheRunningRequest)
{
    cutNextAnswer(false);
    call("/a");
    CHECK(m_verdicts.back().outcome == Outcome::Unknown);
    CHECK(m_verdicts.back().reason == Reason::ServerCrashed);
    LONGS_EQUAL(1, m_quarantine.crashes.size());
    CHECK(m_quarantine.crashes[0].first == fingerprintOfPath("/a"));
    CHECK(m_quarantine.crashes[0].second.run == nameOf(RUN));
    CHECK_FALSE(m_quarantine.crashes[0].second.wasIsolated);
    CHECK(m_quarantine.crashes[0].second.kind.version == UpstreamVersion("v1"));
}

// Guards against a part of a response that is passed on as whole because its server crashed: the
// system ends the connections of a process in order.
TEST(GateSuspects, UnframedResponseThatEndsWithItsServerIsNotWhole)
{
    HttpResult unframed = HttpResponse();
    unframed.send.hasEndedByClose = true;
    m_client.isUp = false;
    m_client.results.push_back(unframed);
    call("/a");
    CHECK(m_verdicts.back().outcome == Outcome::Unknown);
    CHECK(m_verdicts.back().reason == Reason::ServerCrashed);
    LONGS_EQUAL(1, m_quarantine.crashes.size());
}

TEST(GateSuspects, UnframedResponseOfARunningServerIsWhole)
{
    HttpResult unframed = HttpResponse();
    unframed.send.hasEndedByClose = true;
    m_client.results.push_back(unframed);
    call("/a");
    CHECK(m_verdicts.back().outcome == Outcome::Answered);
}

// Guards against requests that become suspects because of a reset connection or a broken answer.
TEST(GateSuspects, BrokenAnswerOfRunningServerIsNoCrash)
{
    cutNextAnswer(true);
    call("/a");
    CHECK(m_verdicts.back().reason == Reason::BrokenAnswer);
    m_client.isUp = false;
    m_client.failNext(HttpFailureStage::MaybeSent, HttpFailureCause::Broken);
    call("/a");
    CHECK(m_verdicts.back().reason == Reason::BrokenAnswer);
    CHECK(m_quarantine.crashes.empty());
}

// Guards against requests that become suspects because their server was replaced.
TEST(GateSuspects, PlannedEndOfServerIsNoCrash)
{
    endServerDuringCall(true);
    CHECK(m_verdicts.back().reason == Reason::BrokenAnswer);
    CHECK(m_quarantine.crashes.empty());
}

// A server that stopped reporting because of a crash is withdrawn as well, without having announced
// its shutdown.
TEST(GateSuspects, ServerWithdrawnForSilenceMayHaveCrashed)
{
    endServerDuringCall(false);
    CHECK(m_verdicts.back().reason == Reason::ServerCrashed);
    LONGS_EQUAL(1, m_quarantine.crashes.size());
}

TEST(GateSuspects, QuarantinedRequestReachesNoServer)
{
    m_quarantine.set(fingerprintOfPath("/bad"), Suspicion::Quarantined);
    call("/bad");
    CHECK(m_client.calls.empty());
    CHECK(m_verdicts.back().outcome == Outcome::NotRun);
    CHECK(m_verdicts.back().reason == Reason::Quarantined);
    CHECK(m_verdicts.back().retryAfter == Duration::zero());
    call("/good");
    LONGS_EQUAL(1, m_client.calls.size());
    CHECK(m_quarantine.completions.back() == fingerprintOfPath("/good"));
}

TEST(GateSuspects, HeldRequestIsRefusedWithRetryAfter)
{
    Assessment held;
    held.suspicion = Suspicion::Held;
    held.retryAfter = 1500ms;
    m_quarantine.assessments[fingerprintOfPath("/bad")] = held;
    call("/bad");
    CHECK(m_client.calls.empty());
    CHECK(m_verdicts.back().reason == Reason::Suspected);
    CHECK(m_verdicts.back().retryAfter == 1500ms);
}

// Guards against two suspects that are both blamed for a crash that one of them caused.
TEST(GateSuspects, OneSuspectRunsAtATime)
{
    m_quarantine.set(fingerprintOfPath("/a"), Suspicion::Suspect);
    m_quarantine.set(fingerprintOfPath("/b"), Suspicion::Suspect);
    std::vector<std::string> order;
    m_client.answer = [&](const MockHttpClient::Call &sent) -> HttpResult {
        order.push_back(sent.request.target);
        if (sent.request.target == "/a") {
            call("/b");
            call("/free");
            order.emplace_back("end of /a");
        }
        return HttpResponse();
    };
    call("/a");
    const std::vector<std::string> expected{ "/a", "/free", "end of /a", "/b" };
    CHECK(order == expected);
    LONGS_EQUAL(3, m_verdicts.size());
}

// Guards against a frequent request that still waits for its turn after it was cleared.
TEST(GateSuspects, ClearedRequestIsAdmittedAtOnce)
{
    m_quarantine.set(fingerprintOfPath("/a"), Suspicion::Suspect);
    m_quarantine.set(fingerprintOfPath("/b"), Suspicion::Suspect);
    std::vector<std::string> order;
    m_client.answer = [&](const MockHttpClient::Call &sent) -> HttpResult {
        order.push_back(sent.request.target);
        if (sent.request.target == "/a") {
            call("/b");
            m_quarantine.set(fingerprintOfPath("/b"), Suspicion::None);
            order.emplace_back("end of /a");
        }
        return HttpResponse();
    };
    call("/a");
    const std::vector<std::string> expected{ "/a", "/b", "end of /a" };
    CHECK(order == expected);
}

TEST(GateSuspects, WaitingRequestIsRefusedOnceQuarantined)
{
    m_quarantine.set(fingerprintOfPath("/a"), Suspicion::Suspect);
    m_client.answer = [&](const MockHttpClient::Call &) -> HttpResult {
        if (m_verdicts.empty()) {
            call("/a");
            CHECK(m_verdicts.empty());
            m_quarantine.set(fingerprintOfPath("/a"), Suspicion::Quarantined);
            LONGS_EQUAL(1, m_verdicts.size());
            CHECK(m_verdicts.back().reason == Reason::Quarantined);
        }
        return HttpResponse();
    };
    call("/a");
    LONGS_EQUAL(1, m_client.calls.size());
}

TEST(GateSuspects, WaitingRequestCanBeCancelled)
{
    m_quarantine.set(fingerprintOfPath("/a"), Suspicion::Suspect);
    m_client.answer = [&](const MockHttpClient::Call &) -> HttpResult {
        if (m_verdicts.empty()) {
            m_gates->cancel(call("/a"));
        }
        return HttpResponse();
    };
    call("/a");
    LONGS_EQUAL(1, m_client.calls.size());
    CHECK(m_verdicts.front().outcome == Outcome::NotRun);
    CHECK(m_verdicts.front().reason == Reason::Cancelled);
    LONGS_EQUAL(0, m_gates->callCount());
}

// Guards against a request whose crashes are not counted because its callers cancel early.
TEST(GateSuspects, RequestAbandonedShortlyBeforeCrashIsReported)
{
    m_client.failNext(HttpFailureStage::MaybeSent, HttpFailureCause::Cancelled);
    call("/left");
    m_loop.advance(100ms);
    cutNextAnswer(false);
    call("/a");
    LONGS_EQUAL(2, m_quarantine.crashes.size());
    CHECK(m_quarantine.crashes[0].first == fingerprintOfPath("/left"));
    CHECK(m_quarantine.crashes[0].second.run == m_quarantine.crashes[1].second.run);
}

TEST(GateSuspects, RequestAbandonedLongBeforeCrashIsNotReported)
{
    m_client.failNext(HttpFailureStage::MaybeSent, HttpFailureCause::Cancelled);
    call("/left");
    m_loop.advance(1s);
    cutNextAnswer(false);
    call("/a");
    LONGS_EQUAL(1, m_quarantine.crashes.size());
}

TEST(GateSuspects, CrashOfTrialIsReportedAsTrial)
{
    Assessment trial;
    trial.suspicion = Suspicion::Suspect;
    trial.isTrial = true;
    m_quarantine.assessments[fingerprintOfPath("/bad")] = trial;
    cutNextAnswer(false);
    call("/bad");
    CHECK(m_quarantine.crashes.at(0).second.wasIsolated);
    CHECK(m_quarantine.crashes.at(0).second.isTrial);
}

// Guards against a request that is never quarantined because its servers restart under their ids.
TEST(GateSuspects, CrashesOfRestartedServerAreDistinct)
{
    for (std::uint64_t start = 1; start <= 3; ++start) {
        announce(false, { RUN.instance, UpstreamStart(start) });
        cutNextAnswer(false);
        call("/a");
    }
    LONGS_EQUAL(3, m_quarantine.crashes.size());
    CHECK(m_quarantine.crashes[0].second.run != m_quarantine.crashes[1].second.run);
    CHECK(m_quarantine.crashes[1].second.run != m_quarantine.crashes[2].second.run);
}

// Guards against a crash that counts as that of the run before, as the server receives requests
// before it is announced again.
TEST(GateSuspects, CrashBeforeTheNextRunIsAnnouncedIsDistinct)
{
    cutNextAnswer(false);
    call("/a");
    m_loop.advance(2s);
    cutNextAnswer(false);
    call("/a");
    LONGS_EQUAL(2, m_quarantine.crashes.size());
    CHECK(m_quarantine.crashes[0].second.run != m_quarantine.crashes[1].second.run);
}

// Guards against a call that was rejected by one run of a server and is sent again to the next.
TEST(GateSuspects, RefusedCallIsNotSentAgainToTheNextRun)
{
    GateServiceOptions options;
    options.retryBudget.ratio = 10;
    makeGates(options);
    m_client.answer = [this](const MockHttpClient::Call &) -> HttpResult {
        announce(false, { RUN.instance, UpstreamStart(2000) });
        return HttpResponse{ 503, { { headers::UPSTREAM_OUTCOME, "not-run" } }, {} };
    };
    call("/a");
    LONGS_EQUAL(1, m_client.calls.size());
    CHECK(m_verdicts.back().reason == Reason::UpstreamRefused);
}

// Guards against requests that become suspects because the server that was replaced as planned had
// a successor when its last connections were closed.
TEST(GateSuspects, PlannedEndIsNoCrashAfterTheNextRunIsAnnounced)
{
    m_client.answer = [this](const MockHttpClient::Call &) {
        m_gates->withdraw(SERVICE, RUN, true);
        announce(false, { RUN.instance, UpstreamStart(2000) });
        m_client.isUp = false;
        return makeCut();
    };
    call("/a");
    CHECK(m_verdicts.back().reason == Reason::BrokenAnswer);
    CHECK(m_quarantine.crashes.empty());
}
