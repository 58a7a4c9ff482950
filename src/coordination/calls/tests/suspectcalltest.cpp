#include "coordination/calls/internal/entrycall.h"

#include "coordination/calls/tests/mocks/fakeretrypolicy.h"
#include "coordination/calls/tests/mocks/fakerouter.h"
#include "coordination/retries/internal/attemptledger.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const EntryAction *findAction(const EntryActions &actions, EntryVerb verb)
{
    for (const EntryAction &action : actions) {
        if (action.verb == verb) {
            return &action;
        }
    }
    return nullptr;
}

AttemptEnd crash()
{
    AttemptEnd end;
    end.verdict = Verdict{ Outcome::Unknown, Reason::ServerCrashed, Duration::zero() };
    end.hasReachedUpstream = true;
    return end;
}

} // namespace

TEST_GROUP(SuspectCall)
{
    FakeRouter m_router;
    FakeRetryPolicy m_retries;
    SeededRandom m_random{ 1 };
    AttemptLedger m_ledger{ AttemptCount(9) };
    EntryCallTerms m_terms;
    Assessment m_standing;
    TimePoint m_now{ 1000ms };

    void setup() override
    {
        m_router.daemons = { DaemonId("first"), DaemonId("second"), DaemonId("third") };
        m_terms.rule.service = ServiceName("cassa");
        m_terms.rule.attempts = AttemptCount(9);
        m_terms.rule.repetition = Repetition::Idempotent;
        m_terms.deadline = m_now + 2s;
        m_terms.standing = [this] { return m_standing; };
        m_terms.fingerprint = [] { return Fingerprint("f00d"); };
    }
    EntryCall makeCall()
    {
        return EntryCall(EntryPolicies{ m_router, m_retries, m_random }, m_ledger, m_terms);
    }
    void suspect(std::size_t crashes)
    {
        m_standing.suspicion = Suspicion::Suspect;
        m_standing.crashes = crashes;
    }
};

// Guards against a call that crashes one server after the other within a moment.
TEST(SuspectCall, IsRepeatedOnlyAMomentAfterACrash)
{
    EntryCall call = makeCall();
    call.start(m_now);
    suspect(1);
    CHECK(call.onEnd(m_now, AttemptIndex(0), crash()).empty());
    CHECK(call.nextTimer() == m_now + 100ms);
    m_now += 100ms;
    CHECK(findAction(call.onTimer(m_now), EntryVerb::Send) != nullptr);
    CHECK(m_router.fingerprints.back() == Fingerprint("f00d"));
}

TEST(SuspectCall, IsNotRepeatedAfterTheSecondCrash)
{
    EntryCall call = makeCall();
    call.start(m_now);
    suspect(2);
    call.onEnd(m_now, AttemptIndex(0), crash());
    m_now += 100ms;
    const EntryActions ended = call.onTimer(m_now);
    CHECK(findAction(ended, EntryVerb::Send) == nullptr);
    CHECK(findAction(ended, EntryVerb::Finish)->verdict.outcome == Outcome::Unknown);
    CHECK(findAction(ended, EntryVerb::Finish)->verdict.reason == Reason::ServerCrashed);
}

// Guards against requests in demand that are lost with each server though others have completed.
TEST(SuspectCall, OneThatIsClearedMeanwhileIsRepeatedAsAnyOther)
{
    EntryCall call = makeCall();
    call.start(m_now);
    m_standing.crashes = 4;
    call.onEnd(m_now, AttemptIndex(0), crash());
    m_now += 100ms;
    CHECK(findAction(call.onTimer(m_now), EntryVerb::Send) != nullptr);
    CHECK(m_router.fingerprints.back() == Fingerprint());
}

TEST(SuspectCall, OneThatMayNotBeRepeatedEndsAtOnce)
{
    m_terms.rule.repetition = Repetition::Never;
    EntryCall call = makeCall();
    call.start(m_now);
    const EntryActions ended = call.onEnd(m_now, AttemptIndex(0), crash());
    CHECK(findAction(ended, EntryVerb::Finish)->verdict.outcome == Outcome::Unknown);
}

// Guards against a suspect that runs on two servers at a time.
TEST(SuspectCall, IsNotHedged)
{
    m_retries.hedgeAfter = 50ms;
    suspect(1);
    EntryCall call = makeCall();
    call.start(m_now);
    m_now += 50ms;
    CHECK(call.onTimer(m_now).empty());
    LONGS_EQUAL(1, call.attempts());
}

TEST(SuspectCall, TheAnswerOfAQuarantineNamesNoTimeToComeBack)
{
    m_standing.suspicion = Suspicion::Quarantined;
    EntryCall call = makeCall();
    const EntryActions ended = call.start(m_now);
    const EntryAction *finish = findAction(ended, EntryVerb::Finish);
    CHECK(finish->verdict.outcome == Outcome::NotRun);
    CHECK(finish->verdict.reason == Reason::Quarantined);
    CHECK(finish->verdict.retryAfter == Duration::zero());
}

// Guards against a request that runs on a mended version and is refused by a gate of the old one.
TEST(SuspectCall, OneThatAGateOfAnotherVersionRefusesGoesOn)
{
    EntryCall call = makeCall();
    call.start(m_now);
    AttemptEnd refused;
    refused.verdict = Verdict{ Outcome::NotRun, Reason::Quarantined, Duration::zero() };
    CHECK(findAction(call.onEnd(m_now, AttemptIndex(0), refused), EntryVerb::Send) != nullptr);
    m_standing.suspicion = Suspicion::Quarantined;
    CHECK(findAction(call.onEnd(m_now, AttemptIndex(1), refused), EntryVerb::Send) == nullptr);
}

TEST(SuspectCall, OneThatWaitsForItsRepetitionEndsWithItsCaller)
{
    EntryCall call = makeCall();
    call.start(m_now);
    suspect(1);
    call.onEnd(m_now, AttemptIndex(0), crash());
    CHECK(findAction(call.onCallerGone(m_now), EntryVerb::Finish) != nullptr);
    CHECK(call.onTimer(m_now + 100ms).empty());
}

// Guards against a call whose hedge is still open, and that takes the next server at once.
TEST(SuspectCall, WithAnotherAttemptOpenItIsNotRepeatedAtOnce)
{
    m_retries.hedgeAfter = 50ms;
    EntryCall call = makeCall();
    call.start(m_now);
    m_now += 50ms;
    CHECK(findAction(call.onTimer(m_now), EntryVerb::Send) != nullptr);
    suspect(1);
    CHECK(call.onEnd(m_now, AttemptIndex(0), crash()).empty());
    LONGS_EQUAL(2, call.attempts());
}
