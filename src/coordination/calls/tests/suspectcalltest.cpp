#include "coordination/calls/internal/entrycall.h"

#include "coordination/calls/tests/mocks/fakeretrypolicy.h"
#include "coordination/calls/tests/mocks/fakerouter.h"
#include "coordination/retries/internal/attemptbudget.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const EntryAction *findAction(const EntryActions &actions, EntryActionType type)
{
    for (const EntryAction &action : actions) {
        if (action.type == type) {
            return &action;
        }
    }
    return nullptr;
}

AttemptResult makeCrashResult()
{
    AttemptResult result;
    result.verdict = Verdict{ Outcome::Unknown, Reason::ServerCrashed, Duration::zero() };
    result.hasReachedUpstream = true;
    return result;
}

} // namespace

TEST_GROUP(SuspectCall)
{
    FakeRouter m_router;
    FakeRetryPolicy m_retries;
    SeededRandom m_random{ 1 };
    AttemptBudget m_budget{ AttemptCount(9) };
    EntryCallOptions m_options;
    Assessment m_assessment;
    TimePoint m_now{ 1000ms };

    void setup() override
    {
        m_router.daemons = { DaemonId("first"), DaemonId("second"), DaemonId("third") };
        m_options.rule.service = ServiceName("cassa");
        m_options.rule.attempts = AttemptCount(9);
        m_options.rule.repetition = Repetition::Idempotent;
        m_options.deadline = m_now + 2s;
        m_options.assess = [this] { return m_assessment; };
        m_options.fingerprint = [] { return Fingerprint("f00d"); };
    }
    EntryCall makeCall()
    {
        return EntryCall(EntryPolicies{ m_router, m_retries, m_random }, m_budget, m_options);
    }
    void markSuspect(std::size_t crashes)
    {
        m_assessment.suspicion = Suspicion::Suspect;
        m_assessment.crashes = crashes;
    }
};

// Guards against a call that crashes several servers in quick succession.
TEST(SuspectCall, IsRetriedOnlyAfterADelay)
{
    EntryCall call = makeCall();
    call.start(m_now);
    markSuspect(1);
    CHECK(call.onEnd(m_now, AttemptIndex(0), makeCrashResult()).empty());
    CHECK(call.nextTimer() == m_now + 100ms);
    m_now += 100ms;
    CHECK(findAction(call.onTimer(m_now), EntryActionType::Send) != nullptr);
    CHECK(m_router.fingerprints.back() == Fingerprint("f00d"));
}

TEST(SuspectCall, IsNotRetriedAfterTheSecondCrash)
{
    EntryCall call = makeCall();
    call.start(m_now);
    markSuspect(2);
    call.onEnd(m_now, AttemptIndex(0), makeCrashResult());
    m_now += 100ms;
    const EntryActions ended = call.onTimer(m_now);
    CHECK(findAction(ended, EntryActionType::Send) == nullptr);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Unknown);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.reason == Reason::ServerCrashed);
}

// Guards against frequent requests that are lost with each crashed server although the same request
// has completed elsewhere.
TEST(SuspectCall, ClearedCallIsRetried)
{
    EntryCall call = makeCall();
    call.start(m_now);
    m_assessment.crashes = 4;
    call.onEnd(m_now, AttemptIndex(0), makeCrashResult());
    m_now += 100ms;
    CHECK(findAction(call.onTimer(m_now), EntryActionType::Send) != nullptr);
    CHECK(m_router.fingerprints.back() == Fingerprint());
}

TEST(SuspectCall, CallThatMayNotBeRepeatedFailsAtOnce)
{
    m_options.rule.repetition = Repetition::Never;
    EntryCall call = makeCall();
    call.start(m_now);
    const EntryActions ended = call.onEnd(m_now, AttemptIndex(0), makeCrashResult());
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Unknown);
}

// Guards against a suspect that runs on two servers at the same time.
TEST(SuspectCall, IsNotHedged)
{
    m_retries.hedgeAfter = 50ms;
    markSuspect(1);
    EntryCall call = makeCall();
    call.start(m_now);
    m_now += 50ms;
    CHECK(call.onTimer(m_now).empty());
    LONGS_EQUAL(1, call.attempts());
}

TEST(SuspectCall, QuarantinedCallGetsNoRetryAfter)
{
    m_assessment.suspicion = Suspicion::Quarantined;
    EntryCall call = makeCall();
    const EntryActions ended = call.start(m_now);
    const EntryAction *finish = findAction(ended, EntryActionType::Finish);
    CHECK(finish->verdict.outcome == Outcome::NotRun);
    CHECK(finish->verdict.reason == Reason::Quarantined);
    CHECK(finish->verdict.retryAfter == Duration::zero());
}

// Guards against a further crash by a call that a gate refuses before the other daemons know of the
// last one.
TEST(SuspectCall, CallThatAGateKeepsFromItsServerIsNotSentToAnother)
{
    const Verdict refusals[] = { { Outcome::NotRun, Reason::Quarantined, Duration::zero() },
                                 { Outcome::NotRun, Reason::Suspected, 2s } };
    for (const Verdict &refusal : refusals) {
        markSuspect(2);
        EntryCall call = makeCall();
        call.start(m_now);
        AttemptResult result;
        result.verdict = refusal;
        const EntryActions ended = call.onEnd(m_now, AttemptIndex(0), result);
        CHECK(findAction(ended, EntryActionType::Send) == nullptr);
        CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::NotRun);
        CHECK(findAction(ended, EntryActionType::Finish)->verdict.reason == refusal.reason);
    }
}

// Guards against refusing a suspect for good because another one was running at the server.
TEST(SuspectCall, SuspectThatFoundNoTurnIsRetried)
{
    markSuspect(1);
    EntryCall call = makeCall();
    call.start(m_now);
    AttemptResult result;
    result.verdict = Verdict{ Outcome::NotRun, Reason::Suspected, Duration::zero() };
    CHECK(findAction(call.onEnd(m_now, AttemptIndex(0), result), EntryActionType::Send) != nullptr);
}

// Guards against refusing a request for good that a gate of an old version refuses, although a
// fixed version could run it.
TEST(SuspectCall, CallRefusedByAGateOfAnotherVersionIsRetried)
{
    EntryCall call = makeCall();
    call.start(m_now);
    AttemptResult refused;
    refused.verdict = Verdict{ Outcome::NotRun, Reason::Quarantined, Duration::zero() };
    CHECK(findAction(call.onEnd(m_now, AttemptIndex(0), refused), EntryActionType::Send)
          != nullptr);
    m_assessment.suspicion = Suspicion::Quarantined;
    CHECK(findAction(call.onEnd(m_now, AttemptIndex(1), refused), EntryActionType::Send)
          == nullptr);
}

TEST(SuspectCall, PostponedRetryIsDroppedWhenTheCallerDisconnects)
{
    EntryCall call = makeCall();
    call.start(m_now);
    markSuspect(1);
    call.onEnd(m_now, AttemptIndex(0), makeCrashResult());
    CHECK(findAction(call.onCallerGone(m_now), EntryActionType::Finish) != nullptr);
    CHECK(call.onTimer(m_now + 100ms).empty());
}

// Guards against a call that is retried on the next server at once while its hedge is still open.
TEST(SuspectCall, IsNotRetriedAtOnceWithAnotherAttemptOpen)
{
    m_retries.hedgeAfter = 50ms;
    EntryCall call = makeCall();
    call.start(m_now);
    m_now += 50ms;
    CHECK(findAction(call.onTimer(m_now), EntryActionType::Send) != nullptr);
    markSuspect(1);
    CHECK(call.onEnd(m_now, AttemptIndex(0), makeCrashResult()).empty());
    LONGS_EQUAL(2, call.attempts());
}
