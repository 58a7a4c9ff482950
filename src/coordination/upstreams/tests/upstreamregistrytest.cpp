#include "coordination/upstreams/upstreamregistryfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const Endpoint ADDRESS{ "10.1.0.8", 8301 };

UpstreamReport makeReport(const char *instance, std::uint64_t sequence,
                          UpstreamPhase phase = UpstreamPhase::Ready)
{
    UpstreamReport report;
    report.instance = UpstreamId(instance);
    report.service = ServiceName("cassa");
    report.endpoint = ADDRESS;
    report.slots = 10;
    report.phase = phase;
    report.sequence = sequence;
    return report;
}

UpstreamReport startedAt(std::uint64_t start, UpstreamReport report)
{
    report.start = UpstreamStart(start);
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
            m_registry->onHealth(m_now, UpstreamId(instance), healthy(instance));
        CHECK(!actions.empty());
        CHECK(actions.back().verb == UpstreamVerb::Serve);
    }
};

TEST(UpstreamRegistry, NewRunIsCheckedBeforeItReceivesCalls)
{
    const UpstreamActions actions = m_registry->onReport(m_now, makeReport("a", 1));
    CHECK_EQUAL(1, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Check);
    const UpstreamActions confirmed = m_registry->onHealth(m_now, UpstreamId("a"), healthy("a"));
    CHECK_EQUAL(1, confirmed.size());
    CHECK(confirmed[0].verb == UpstreamVerb::Serve);
}

// 1. A daemon acknowledges that its server drains, and is killed at once.
// 2. A late report from before, `ready`, reaches the restarted daemon, which knows nothing.
// 3. The server itself says that it leaves. Without the check callers would be sent to it again.
TEST(UpstreamRegistry, DelayedReportDoesNotReactivateADrainingServerAfterARestart)
{
    m_registry->onReport(m_now, makeReport("a", 1));
    const UpstreamHealth leaving{ false, false, UpstreamId("a") };
    CHECK(m_registry->onHealth(m_now, UpstreamId("a"), leaving).empty());
    CHECK(m_registry->nextTick() > m_now);
}

// 1. A server crashes, and its address is given to another one.
// 2. A report of the first, delayed by a partition, arrives. The other answers the health check.
// 3. Nothing may be sent there under the first one's name, then or later.
TEST(UpstreamRegistry, ReportIsRejectedIfAnotherServerHasItsAddress)
{
    m_registry->onReport(m_now, makeReport("a", 1));
    CHECK(m_registry->onHealth(m_now, UpstreamId("a"), healthy("b")).empty());
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

// A server that is taken away without notice says goodbye first and serves on for a while.
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
    const UpstreamActions actions = m_registry->onHealth(m_now, UpstreamId("b"), healthy("b"));
    CHECK_EQUAL(2, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Stop);
    CHECK(actions[0].report.instance == UpstreamId("a"));
    CHECK(actions[1].verb == UpstreamVerb::Serve);
}

// Reports may be seconds late: silenceTimeout alone is no proof, and the server answers for itself.
TEST(UpstreamRegistry, SilentServerIsCheckedAndKeptIfItAnswers)
{
    serve("a");
    m_now = m_registry->nextTick();
    const UpstreamActions asked = m_registry->tick(m_now);
    CHECK_EQUAL(1, asked.size());
    CHECK(asked[0].verb == UpstreamVerb::Check);
    CHECK(m_registry->onHealth(m_now, UpstreamId("a"), healthy("a")).empty());
    CHECK(m_registry->nextTick() > m_now + std::chrono::seconds(1));
}

TEST(UpstreamRegistry, ServerThatAnswersNoCheckIsStopped)
{
    serve("a");
    CHECK_EQUAL(1, m_registry->onContactFailure(m_now, UpstreamId("a")).size());
    const UpstreamHealth silent{ false, true, {} };
    UpstreamActions actions;
    for (int i = 0; i < 3; ++i) {
        actions = m_registry->onHealth(m_now, UpstreamId("a"), silent);
        m_now += std::chrono::seconds(1);
        m_registry->tick(m_now);
    }
    CHECK_EQUAL(1, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Stop);
}

// 1. A server crashes at its hundredth report and starts again under its name. Its reports count
//    from one again.
// 2. Taken for old ones, they would leave it without work for good, and callers of a narrow service
//    would miss its slots.
TEST(UpstreamRegistry, RestartedServerWithTheSameIdReceivesCalls)
{
    m_registry->onReport(m_now, startedAt(1000, makeReport("a", 100)));
    m_registry->onHealth(m_now, UpstreamId("a"), healthy("a"));
    const UpstreamActions actions =
        m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    CHECK_EQUAL(2, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Stop);
    CHECK(actions[1].verb == UpstreamVerb::Check);
    const UpstreamActions confirmed = m_registry->onHealth(m_now, UpstreamId("a"), healthy("a"));
    CHECK(confirmed.back().verb == UpstreamVerb::Serve);
}

TEST(UpstreamRegistry, ServerMayRestartWithTheSameIdAfterAGoodbye)
{
    m_registry->onReport(m_now, startedAt(1000, makeReport("a", 100)));
    m_registry->onHealth(m_now, UpstreamId("a"), healthy("a"));
    m_registry->onReport(m_now, makeReport("a", 0, UpstreamPhase::Gone));
    const UpstreamActions actions =
        m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    CHECK_EQUAL(1, actions.size());
    CHECK(actions[0].verb == UpstreamVerb::Check);
}

// A report that a partition kept back, `ready`, `draining` or a goodbye, says nothing of the run
// that followed: it must neither revive the old one nor end the new one.
TEST(UpstreamRegistry, DelayedReportsOfAnEarlierRunAreIgnored)
{
    m_registry->onReport(m_now, startedAt(2000, makeReport("a", 1)));
    m_registry->onHealth(m_now, UpstreamId("a"), healthy("a"));
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

// A report of another writer names a sound server under a service that it does not run. Its calls
// must not go there.
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
