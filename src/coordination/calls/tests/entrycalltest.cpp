#include "coordination/calls/internal/entrycall.h"

#include <memory>

#include "coordination/calls/tests/mocks/fakeretrypolicy.h"
#include "coordination/calls/tests/mocks/fakerouter.h"
#include "coordination/retries/internal/attemptbudget.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;

namespace {

const DaemonId FIRST("first");
const DaemonId SECOND("second");

AttemptResult makeResult(Outcome outcome, Reason reason, std::uint32_t unspent)
{
    AttemptResult result;
    result.verdict = Verdict{ outcome, reason, Duration::zero() };
    result.unspent = AttemptCount(unspent);
    result.status = outcome == Outcome::Answered ? 200 : 0;
    return result;
}

const EntryAction *findAction(const EntryActions &actions, EntryActionType type)
{
    for (const EntryAction &action : actions) {
        if (action.type == type) {
            return &action;
        }
    }
    return nullptr;
}

} // namespace

TEST_GROUP(EntryCall)
{
    FakeRouter router;
    FakeRetryPolicy retries;
    SeededRandom random{ 1 };
    AttemptBudget budget{ AttemptCount(9) };
    EntryCallOptions options;
    TimePoint now{ milliseconds(1000) };

    void setup() override
    {
        router.daemons = { FIRST, SECOND };
        options.rule.service = ServiceName("cassa");
        options.rule.attempts = AttemptCount(9);
        options.rule.repetition = Repetition::Never;
        options.rank = Rank(100);
        options.deadline = now + milliseconds(500);
    }

    EntryCall makeCall()
    {
        return EntryCall(EntryPolicies{ router, retries, random }, budget, options);
    }
};

TEST(EntryCall, AnswerOfTheFirstAttemptIsTheCallersAnswer)
{
    EntryCall call = makeCall();
    const EntryActions sent = call.start(now);
    CHECK(findAction(sent, EntryActionType::Send)->target == FIRST);
    const EntryActions ended =
        call.onEnd(now, AttemptIndex(0), makeResult(Outcome::Answered, Reason::None, 3));
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Answered);
    CHECK(call.isFinished());
    CHECK_EQUAL(1, retries.successes);
}

// Guards against a caller that is told "not run" of a request that ran with an error before.
TEST(EntryCall, RefusalAfterAnAnsweredErrorIsUnknown)
{
    options.rule.repetition = Repetition::Idempotent;
    EntryCall call = makeCall();
    call.start(now);
    AttemptResult error = makeResult(Outcome::Answered, Reason::None, 0);
    error.status = 500;
    const EntryActions retried = call.onEnd(now, AttemptIndex(0), error);
    CHECK(findAction(retried, EntryActionType::Send) != nullptr);
    retries.mayRetry = false;
    const EntryActions ended =
        call.onEnd(now, AttemptIndex(1), makeResult(Outcome::NotRun, Reason::QueueFull, 0));
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Unknown);
}

// The first gate refuses, so the call did not run and is sent to another server.
TEST(EntryCall, RefusedAttemptIsSentElsewhere)
{
    EntryCall call = makeCall();
    call.start(now);
    const EntryActions next =
        call.onEnd(now, AttemptIndex(0), makeResult(Outcome::NotRun, Reason::QueueFull, 7));
    CHECK(findAction(next, EntryActionType::Send)->target == SECOND);
}

// Guards against calls that a gate refuses in favour of another server although there is none.
TEST(EntryCall, OnlyAFirstAttemptWithOtherServersMayGoElsewhere)
{
    for (const bool hasOthers : { false, true }) {
        router.hasCandidates = hasOthers;
        AttemptBudget ownBudget{ AttemptCount(9) };
        EntryCall call(EntryPolicies{ router, retries, random }, ownBudget, options);
        const EntryActions sent = call.start(now);
        CHECK_EQUAL(hasOthers, findAction(sent, EntryActionType::Send)->mayGoElsewhere);
        AttemptResult refused = makeResult(Outcome::NotRun, Reason::QueueFull, 7);
        refused.load.speed = SpeedShare(400);
        refused.load.limit = 8;
        refused.load.queued = 2;
        const EntryActions next = call.onEnd(now, AttemptIndex(0), refused);
        CHECK_EQUAL(hasOthers, retries.lastQuery.isPassedOn);
        CHECK_FALSE(findAction(next, EntryActionType::Send)->mayGoElsewhere);
    }
    router.hasCandidates = true;
    {
        AttemptBudget ownBudget{ AttemptCount(9) };
        EntryCall call(EntryPolicies{ router, retries, random }, ownBudget, options);
        call.start(now);
        AttemptResult full = makeResult(Outcome::NotRun, Reason::QueueFull, 7);
        full.load.speed = SpeedShare(400);
        full.load.limit = 8;
        full.load.queued = 8;
        call.onEnd(now, AttemptIndex(0), full);
        CHECK_FALSE(retries.lastQuery.isPassedOn);
    }
    options.isSingleAttempt = true;
    EntryCall call = makeCall();
    CHECK_FALSE(findAction(call.start(now), EntryActionType::Send)->mayGoElsewhere);
}

// The link is lost after a call that must not be repeated was sent. The caller is told "unknown": a
// second attempt could run it twice, and "not run" could be wrong.
TEST(EntryCall, AttemptThatMayHaveRunIsNotRepeated)
{
    EntryCall call = makeCall();
    call.start(now);
    const EntryActions ended =
        call.onEnd(now, AttemptIndex(0), makeResult(Outcome::Unknown, Reason::LinkLost, 0));
    CHECK(findAction(ended, EntryActionType::Send) == nullptr);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Unknown);
}

// The first attempt of a lookup is lost, its second is refused. The refusal says nothing about the
// first, which may have run: the caller must not be told "not run".
TEST(EntryCall, RefusalAfterALostAttemptIsUnknown)
{
    options.rule.repetition = Repetition::Idempotent;
    EntryCall call = makeCall();
    call.start(now);
    call.onEnd(now, AttemptIndex(0), makeResult(Outcome::Unknown, Reason::LinkLost, 0));
    const EntryActions ended =
        call.onEnd(now, AttemptIndex(1), makeResult(Outcome::NotRun, Reason::QueueFull, 0));
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Unknown);
}

// No answer comes by the deadline. The caller is answered then, and the attempt is cancelled.
TEST(EntryCall, DeadlineEndsAnOpenAttemptAsUnknown)
{
    EntryCall call = makeCall();
    call.start(now);
    CHECK(call.nextTimer() == options.deadline);
    const EntryActions ended = call.onTimer(options.deadline);
    CHECK(findAction(ended, EntryActionType::Cancel) != nullptr);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Unknown);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.reason == Reason::Timeout);
}

TEST(EntryCall, RankBelowTheFloorIsRefusedBeforeAnythingIsSpent)
{
    router.lowest = Rank(101);
    EntryCall call = makeCall();
    const EntryActions ended = call.start(now);
    const EntryAction *finish = findAction(ended, EntryActionType::Finish);
    CHECK(finish->verdict.outcome == Outcome::NotRun);
    CHECK(finish->verdict.reason == Reason::BelowFloor);
    CHECK(finish->verdict.retryAfter == retries.retryDelay);
    CHECK_EQUAL(0, router.sent);
    CHECK(budget.left() == AttemptCount(9));
}

TEST(EntryCall, SpentBudgetIsRefusedWithoutRetryAfter)
{
    AttemptCount granted;
    while (budget.spend(AttemptCount(0), AttemptCount(100), granted)) { }
    EntryCall call = makeCall();
    const EntryActions ended = call.start(now);
    const EntryAction *finish = findAction(ended, EntryActionType::Finish);
    CHECK(finish->verdict.reason == Reason::BudgetSpent);
    CHECK(finish->verdict.retryAfter == Duration::zero());
}

// A slow lookup is hedged. The second attempt answers first and the first one is cancelled. Its
// late end does not affect the caller, but is reported to the router.
TEST(EntryCall, HedgeThatAnswersFirstCancelsTheFirstAttempt)
{
    options.rule.repetition = Repetition::Idempotent;
    retries.hedgeAfter = milliseconds(20);
    EntryCall call = makeCall();
    call.start(now);
    const EntryActions hedged = call.onTimer(now + milliseconds(20));
    CHECK(findAction(hedged, EntryActionType::Send)->target == SECOND);
    const EntryActions ended = call.onEnd(now + milliseconds(25), AttemptIndex(1),
                                          makeResult(Outcome::Answered, Reason::None, 0));
    CHECK(findAction(ended, EntryActionType::Cancel)->attempt == AttemptIndex(0));
    CHECK(findAction(ended, EntryActionType::Finish)->attempt == AttemptIndex(1));
    CHECK(call.onEnd(now + milliseconds(30), AttemptIndex(0),
                     makeResult(Outcome::Unknown, Reason::Cancelled, 0))
              .empty());
    CHECK(router.ends.back().second == RouteFeedback::Cancelled);
}

// The rule allows one server per request. The answer is late, but the request may be running: a
// hedge would reach a second server.
TEST(EntryCall, HedgeStaysWithinTheServersThatTheRuleAllows)
{
    options.rule.repetition = Repetition::Idempotent;
    options.rule.servers = 1;
    retries.hedgeAfter = milliseconds(20);
    EntryCall call = makeCall();
    call.start(now);
    CHECK(findAction(call.onTimer(now + milliseconds(20)), EntryActionType::Send) == nullptr);
    CHECK(call.nextTimer() == options.deadline);
}

// Both attempts of a hedged call are in flight, and the rule allows two servers. If one is lost, a
// third server must not be tried while the other may still answer.
TEST(EntryCall, LostAttemptBesideAnOpenOneIsNotRepeatedBeyondTheAllowedServers)
{
    router.daemons = { FIRST, SECOND, DaemonId("third") };
    options.rule.repetition = Repetition::Idempotent;
    options.rule.servers = 2;
    retries.hedgeAfter = milliseconds(20);
    EntryCall call = makeCall();
    call.start(now);
    call.onTimer(now + milliseconds(20));
    AttemptResult lost = makeResult(Outcome::Unknown, Reason::LinkLost, 0);
    lost.hasReachedUpstream = true;
    CHECK(call.onEnd(now + milliseconds(25), AttemptIndex(0), lost).empty());
}

// The hedge's upstream fails while the first attempt is still in flight. The caller gets the answer
// of the first one, not the error.
TEST(EntryCall, ErrorDoesNotOverrideAnOpenAttempt)
{
    options.rule.repetition = Repetition::Idempotent;
    retries.hedgeAfter = milliseconds(20);
    EntryCall call = makeCall();
    call.start(now);
    call.onTimer(now + milliseconds(20));
    AttemptResult error = makeResult(Outcome::Answered, Reason::None, 0);
    error.status = 502;
    CHECK(call.onEnd(now + milliseconds(25), AttemptIndex(1), error).empty());
    const EntryActions ended = call.onEnd(now + milliseconds(40), AttemptIndex(0),
                                          makeResult(Outcome::Answered, Reason::None, 0));
    CHECK(findAction(ended, EntryActionType::Finish)->attempt == AttemptIndex(0));
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::Answered);
}

// Two attempts are left for a call whose upstream makes three more calls. It is not started: it
// would spend both and fail half-way.
TEST(EntryCall, CallThatCannotFinishWithinItsBudgetIsNotStarted)
{
    options.rule.calls = 4;
    AttemptBudget small(AttemptCount(2));
    EntryCall call(EntryPolicies{ router, retries, random }, small, options);
    const EntryActions ended = call.start(now);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.reason == Reason::BudgetSpent);
    CHECK_EQUAL(0, router.sent);
    CHECK(small.left() == AttemptCount(2));
}

TEST(EntryCall, CallsThatMayNotBeRepeatedAreNotHedged)
{
    retries.hedgeAfter = milliseconds(20);
    EntryCall call = makeCall();
    call.start(now);
    CHECK(call.nextTimer() == options.deadline);
}

// Another daemon keeps the key's result: the call is redirected to it once, and only once.
TEST(EntryCall, IsRedirectedToTheKeyHolderOnce)
{
    EntryCall call = makeCall();
    call.start(now);
    AttemptResult busy = makeResult(Outcome::NotRun, Reason::KeyBusy, 7);
    busy.holder = DaemonId("holder");
    retries.mayRetry = false;
    const EntryActions next = call.onEnd(now, AttemptIndex(0), busy);
    CHECK(findAction(next, EntryActionType::Send)->target == DaemonId("holder"));
    const EntryActions ended = call.onEnd(now, AttemptIndex(1), busy);
    CHECK(findAction(ended, EntryActionType::Finish) != nullptr);
}

TEST(EntryCall, CallWithoutContextIsNotRetried)
{
    options.isSingleAttempt = true;
    EntryCall call = makeCall();
    CHECK(findAction(call.start(now), EntryActionType::Send)->granted == AttemptCount(0));
    const EntryActions ended =
        call.onEnd(now, AttemptIndex(0), makeResult(Outcome::NotRun, Reason::QueueFull, 0));
    CHECK(findAction(ended, EntryActionType::Send) == nullptr);
    CHECK(findAction(ended, EntryActionType::Finish)->verdict.outcome == Outcome::NotRun);
}

// Guards against a request that is forwarded, and never cancelled, for a disconnected caller.
TEST(EntryCall, NothingIsSentForACallerThatDisconnectedBeforeTheStart)
{
    EntryCall call = makeCall();
    CHECK(findAction(call.onCallerGone(now), EntryActionType::Finish) != nullptr);
    CHECK(call.start(now).empty());
    CHECK_EQUAL(0, call.attempts());
}

// Guards against a stopping daemon that tells a caller "not run" of a request that may have run.
TEST(EntryCall, StopWithAnOpenAttemptIsUnknown)
{
    EntryCall call = makeCall();
    call.start(now);
    const EntryActions actions = call.onStop(now);
    CHECK(findAction(actions, EntryActionType::Cancel)->attempt == AttemptIndex(0));
    const Verdict verdict = findAction(actions, EntryActionType::Finish)->verdict;
    CHECK(verdict.outcome == Outcome::Unknown);
    CHECK(verdict.reason == Reason::ShuttingDown);
    CHECK(call.onStop(now).empty());
}

TEST(EntryCall, StopBeforeAnyAttemptIsNotRun)
{
    EntryCall call = makeCall();
    const Verdict verdict = findAction(call.onStop(now), EntryActionType::Finish)->verdict;
    CHECK(verdict.outcome == Outcome::NotRun);
    CHECK(verdict.reason == Reason::ShuttingDown);
    CHECK(call.start(now).empty());
}

TEST(EntryCall, CallerThatDisconnectsCancelsOpenAttempts)
{
    EntryCall call = makeCall();
    call.start(now);
    CHECK(findAction(call.onCallerGone(now), EntryActionType::Cancel)->attempt == AttemptIndex(0));
    CHECK(call.isFinished());
}
