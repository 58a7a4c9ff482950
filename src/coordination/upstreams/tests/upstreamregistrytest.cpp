#include "coordination/upstreams/upstreamregistryfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const Endpoint ADDRESS{ "10.1.0.8", 8301 };

UpstreamReport makeReport(const char *instance, std::uint64_t sequence,
                          UpstreamPhase phase = UpstreamPhase::Ready)
{
    UpstreamReport report;
    report.isVerifiable = true;
    report.run.instance = UpstreamId(instance);
    report.service = ServiceName("cassa");
    report.endpoint = ADDRESS;
    report.slots = 10;
    report.phase = phase;
    report.sequence = sequence;
    return report;
}

UpstreamRun makeRun(const char *instance, std::uint64_t start = 0)
{
    return { UpstreamId(instance), UpstreamStart(start) };
}

UpstreamReport startedAt(std::uint64_t start, UpstreamReport report)
{
    report.run.start = UpstreamStart(start);
    return report;
}

UpstreamHealth healthy(const char *instance)
{
    return { true, false, UpstreamId(instance) };
}

} // namespace

TEST_GROUP(UpstreamRegistry)
{
    TimePoint m_now{ std::chrono::seconds(10) };
    std::unique_ptr<IUpstreamRegistry> m_registry = makeUpstreamRegistry({});

    void serve(const char *instance)
    {
        m_registry->onReport(m_now, makeReport(instance, 1));
        const UpstreamActions actions =
            m_registry->onHealth(m_now, makeRun(instance), healthy(instance));
        CHECK(!actions.empty());
        CHECK(actions.back().verb == UpstreamVerb::Serve);
    }
};

TEST(UpstreamRegistry, NewRunIsCheckedBeforeItReceivesCalls)
{
    const UpstreamActions actions = m_registry->onReport(m_now, makeReport("a", 1));
    CHECK_EQUAL(1, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Check);
    const UpstreamActions confirmed = m_registry->onHealth(m_now, makeRun("a"), healthy("a"));
    CHECK_EQUAL(1, confirmed.size());
    CHECK(confirmed[0].verb == UpstreamVerb::Serve);
}

// 1. A daemon acknowledges that its server is draining, and is killed immediately.
// 2. A delayed `ready` report reaches the restarted daemon, which has lost that state.
// 3. The health check shows that the server is shutting down. Without it callers would be sent
//    there again.
TEST(UpstreamRegistry, DelayedReportDoesNotReactivateADrainingServerAfterARestart)
{
    m_registry->onReport(m_now, makeReport("a", 1));
    const UpstreamHealth leaving{ false, false, UpstreamId("a") };
    CHECK(m_registry->onHealth(m_now, makeRun("a"), leaving).empty());
    CHECK(m_registry->nextTick() > m_now);
}

// 1. A server crashes, and another server gets its address.
// 2. A report of the first server, delayed by a network partition, arrives. The other server
//    answers the health check.
// 3. No call may be sent there under the id of the first server, then or later.
TEST(UpstreamRegistry, ReportIsRejectedIfAnotherServerHasItsAddress)
{
    m_registry->onReport(m_now, makeReport("a", 1));
    CHECK(m_registry->onHealth(m_now, makeRun("a"), healthy("b")).empty());
    CHECK(m_registry->onReport(m_now, makeReport("a", 2)).empty());
}

TEST(UpstreamRegistry, DrainingStopsImmediatelyAndPermanently)
{
    serve("a");
    const auto stopped = m_registry->onReport(m_now, makeReport("a", 2, UpstreamPhase::Draining));
    CHECK_EQUAL(1, stopped.size());
    CHECK(stopped[0].verb == UpstreamVerb::Stop);
    CHECK(m_registry->onReport(m_now, makeReport("a", 3)).empty());
}

// A server that is removed without notice sends its goodbye first and continues to serve for a
// while.
TEST(UpstreamRegistry, GoodbyeWithoutDrainingStopsTheRun)
{
    serve("a");
    const auto stopped = m_registry->onReport(m_now, makeReport("a", 0, UpstreamPhase::Gone));
    CHECK_EQUAL(1, stopped.size());
    CHECK(stopped[0].verb == UpstreamVerb::Stop);
    CHECK(m_registry->onReport(m_now, makeReport("a", 9)).empty());
}

TEST(UpstreamRegistry, StaleReportIsIgnored)
{
    serve("a");
    UpstreamReport late = makeReport("a", 1);
    late.slots = 99;
    CHECK(m_registry->onReport(m_now, late).empty());
    late.sequence = 2;
    const UpstreamActions changed = m_registry->onReport(m_now, late);
    CHECK_EQUAL(1, changed.size());
    CHECK_EQUAL(99, changed[0].report.slots);
}

TEST(UpstreamRegistry, ConfirmedRunEndsTheEarlierOneAtItsAddress)
{
    serve("a");
    m_registry->onReport(m_now, makeReport("b", 1));
    const UpstreamActions actions = m_registry->onHealth(m_now, makeRun("b"), healthy("b"));
    CHECK_EQUAL(2, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Stop);
    CHECK(actions[0].report.run.instance == UpstreamId("a"));
    CHECK(actions[1].verb == UpstreamVerb::Serve);
}

// Reports may be seconds late, so missing reports do not prove that a server has ended; the health
// check decides.
TEST(UpstreamRegistry, SilentServerIsCheckedAndKeptIfItAnswers)
{
    serve("a");
    m_now = m_registry->nextTick();
    const UpstreamActions asked = m_registry->tick(m_now);
    CHECK_EQUAL(1, asked.size());
    CHECK(asked[0].verb == UpstreamVerb::Check);
    CHECK(m_registry->onHealth(m_now, makeRun("a"), healthy("a")).empty());
    CHECK(m_registry->nextTick() > m_now + std::chrono::seconds(1));
}

TEST(UpstreamRegistry, ServerThatAnswersNoCheckIsStopped)
{
    serve("a");
    CHECK_EQUAL(1, m_registry->onContactFailure(m_now, makeRun("a")).size());
    const UpstreamHealth silent{ false, true, {} };
    UpstreamActions actions;
    for (int i = 0; i < 3; ++i) {
        actions = m_registry->onHealth(m_now, makeRun("a"), silent);
        m_now += std::chrono::seconds(1);
        m_registry->tick(m_now);
    }
    CHECK_EQUAL(1, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Stop);
}

// 1. A server crashes after 100 reports and restarts under the same instance id. Its sequence
//    numbers start at 1 again.
// 2. If they were considered stale, the server would never receive calls, and its slots would be
//    missing at a bottleneck.
TEST(UpstreamRegistry, RestartedServerWithTheSameIdReceivesCalls)
{
    m_registry->onReport(m_now, startedAt(1000, makeReport("a", 100)));
    m_registry->onHealth(m_now, makeRun("a", 1000), healthy("a"));
    const UpstreamActions actions =
        m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    CHECK_EQUAL(2, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Stop);
    CHECK(actions[1].verb == UpstreamVerb::Check);
    const UpstreamActions confirmed = m_registry->onHealth(m_now, makeRun("a", 2000), healthy("a"));
    CHECK(confirmed.back().verb == UpstreamVerb::Serve);
}

TEST(UpstreamRegistry, ServerMayRestartWithTheSameIdAfterAGoodbye)
{
    m_registry->onReport(m_now, startedAt(1000, makeReport("a", 100)));
    m_registry->onHealth(m_now, makeRun("a", 1000), healthy("a"));
    m_registry->onReport(m_now, makeReport("a", 0, UpstreamPhase::Gone));
    const UpstreamActions actions =
        m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    CHECK_EQUAL(1, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Check);
}

// A report delayed by a network partition, whether `ready`, `draining` or a goodbye, does not
// concern the run that followed: it must neither reactivate the old run nor end the new one.
TEST(UpstreamRegistry, DelayedReportsOfAnEarlierRunAreIgnored)
{
    m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    m_registry->onHealth(m_now, makeRun("a", 2000), healthy("a"));
    for (const UpstreamPhase phase :
         { UpstreamPhase::Ready, UpstreamPhase::Draining, UpstreamPhase::Gone }) {
        CHECK(m_registry->onReport(m_now, startedAt(1000, makeReport("a", 101, phase))).empty());
    }
    CHECK(m_registry->onReport(m_now, startedAt(2000, makeReport("a", 2, UpstreamPhase::Draining)))
              .front()
              .verb
          == UpstreamVerb::Stop);
    CHECK(m_registry->onReport(m_now, startedAt(2000, makeReport("a", 3))).empty());
    CHECK(m_registry->onReport(m_now, startedAt(1000, makeReport("a", 102))).empty());
}

// A report of another sender names a healthy server under a service that it does not run. Calls of
// that service must not be sent there.
TEST(UpstreamRegistry, ReportWithAnotherServiceIsIgnored)
{
    serve("a");
    UpstreamReport foreign = makeReport("a", 2);
    foreign.service = ServiceName("elsewhere");
    foreign.slots = 11;
    CHECK(m_registry->onReport(m_now, foreign).empty());
    CHECK(m_registry->onReport(m_now, makeReport("a", 3)).empty());
    UpstreamReport larger = makeReport("a", 4);
    larger.slots = 12;
    CHECK(m_registry->onReport(m_now, larger).front().verb == UpstreamVerb::Serve);
}

// Guards against a run that is confirmed, or counted as silent, by a health check of an earlier
// run.
TEST(UpstreamRegistry, HealthCheckOfAnEarlierRunIsIgnored)
{
    m_registry->onReport(m_now, startedAt(1000, makeReport("a", 100)));
    m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    CHECK(m_registry->onHealth(m_now, makeRun("a", 1000), healthy("a")).empty());
    CHECK(m_registry->onHealth(m_now, makeRun("a", 1000), healthy("b")).empty());
    CHECK(m_registry->onContactFailure(m_now, makeRun("a", 1000)).empty());
    CHECK_EQUAL(1, m_registry->onHealth(m_now, makeRun("a", 2000), healthy("a")).size());
}

// Guards against a report without a start time that interrupts a run, as the next one with a start
// time then seems to come from a restarted server.
TEST(UpstreamRegistry, ReportWithoutStartTimeDoesNotConcernARunThatHasOne)
{
    m_registry->onReport(m_now, startedAt(1000, makeReport("a", 1)));
    m_registry->onHealth(m_now, makeRun("a", 1000), healthy("a"));
    UpstreamReport foreign = makeReport("a", 2);
    foreign.slots = 11;
    CHECK(m_registry->onReport(m_now, foreign).empty());
    CHECK(m_registry->onReport(m_now, startedAt(1000, makeReport("a", 3))).empty());
}
