#include "coordination/once/oncefactory.h"

#include "coordination/once/tests/mocks/oncesimulation.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

bool isVerdict(const OnceSimulation::Call &call, Outcome outcome, Reason reason)
{
    return call.ends == 1 && call.verdict.outcome == outcome && call.verdict.reason == reason;
}

bool isAnswered(const OnceSimulation::Call &call)
{
    return isVerdict(call, Outcome::Answered, Reason::None);
}

ClaimBatch claimOf(const std::string &daemon, std::uint64_t nonce, std::uint64_t horizon,
                   ClaimKind kind = ClaimKind::Claim)
{
    ClaimBatch batch;
    batch.daemon = DaemonId(daemon);
    batch.incarnation = Incarnation(1);
    batch.horizon = LogOffset(horizon);
    batch.entries.push_back({ kind, RuleName("pay"), IdempotencyKey("k"), nonce });
    return batch;
}

} // namespace

TEST_GROUP(Once)
{
    OnceSimulation simulation{ 1, 3 };

    void setup() override
    {
        simulation.run(1s);
    }
    void teardown() override
    {
        for (const std::string &violation : simulation.violations()) {
            FAIL(violation.c_str());
        }
    }
};

// A caller repeats a payment while the first attempt still runs on that daemon.
TEST(Once, AttemptsAtTheHolderShareOneResponse)
{
    const CallId first = simulation.request(0, "a", 2s);
    const CallId second = simulation.request(0, "a", 2s);
    simulation.run(2s);
    const CallId third = simulation.request(0, "a", 2s);
    simulation.run(1s);
    for (const CallId call : { first, second, third }) {
        CHECK(isAnswered(simulation.call(call)));
        CHECK(simulation.call(call).body == simulation.call(first).body);
    }
    CHECK_EQUAL(1, simulation.executionsOf("a"));
}

TEST(Once, AttemptElsewhereGetsBusyWithTheHolder)
{
    simulation.request(0, "a", 2s);
    simulation.run(1s);
    const CallId elsewhere = simulation.request(1, "a", 2s);
    simulation.run(1s);
    CHECK(isVerdict(simulation.call(elsewhere), Outcome::Unknown, Reason::KeyBusy));
    CHECK(simulation.call(elsewhere).holder == DaemonId("daemon-0"));
}

// After the daemon that ran a payment crashes, its result is lost. Guards against reporting such a
// payment as not run.
TEST(Once, KeyOfACrashedHolderHasUnknownOutcome)
{
    simulation.request(0, "a", 2s);
    simulation.run(1s);
    simulation.crash(0);
    const CallId elsewhere = simulation.request(1, "a", 2s);
    const CallId same = simulation.request(0, "a", 2s);
    simulation.run(2s);
    CHECK(isVerdict(simulation.call(elsewhere), Outcome::Unknown, Reason::KeyHolderGone));
    CHECK(isVerdict(simulation.call(same), Outcome::Unknown, Reason::KeyHolderGone));
}

TEST(Once, KeyCanBeUsedAgainAfterItsLifetime)
{
    simulation.request(0, "a", 2s);
    simulation.run(2 * OnceSimulation::options().window());
    const CallId later = simulation.request(1, "a", 2s);
    simulation.run(2s);
    CHECK(isAnswered(simulation.call(later)));
    CHECK_EQUAL(2, simulation.executionsOf("a"));
}

TEST(Once, DifferentRequestWithTheSameKeyIsRefused)
{
    simulation.request(0, "a", 2s, 1);
    const CallId other = simulation.request(0, "a", 2s, 2);
    simulation.run(1s);
    CHECK(isVerdict(simulation.call(other), Outcome::NotRun, Reason::BadRequest));
}

// Guards against a key that stays blocked after the upstream refused the payment without starting
// it: the caller must be able to retry through another daemon.
TEST(Once, KeyOfACallThatDidNotRunIsReleased)
{
    OnceSimulation::Faults faults;
    faults.refusedByUpstream = 1000;
    simulation.setFaults(faults);
    const CallId refused = simulation.request(0, "a", 2s);
    simulation.run(1s);
    CHECK(isVerdict(simulation.call(refused), Outcome::NotRun, Reason::UpstreamRefused));
    simulation.setFaults({});
    const CallId again = simulation.request(1, "a", 2s);
    simulation.run(2s);
    CHECK(isAnswered(simulation.call(again)));
}

// Guards against payments that wait until the caller's deadline while the log is unavailable.
TEST(Once, LogOutageRefusesWithoutDelayAndServiceResumes)
{
    simulation.setOutage(true);
    simulation.run(2s);
    const CallId refused = simulation.request(0, "a", 30s);
    simulation.run(500ms);
    CHECK(isVerdict(simulation.call(refused), Outcome::NotRun, Reason::LogUnavailable));
    simulation.setOutage(false);
    simulation.run(2s);
    const CallId again = simulation.request(0, "a", 2s);
    simulation.run(2s);
    CHECK(isAnswered(simulation.call(again)));
}

// Every append takes effect, but all answers are lost. Reading the log resolves the claim.
TEST(Once, LostAppendAnswersAreResolvedByReading)
{
    OnceSimulation::Faults faults;
    faults.appendAnswerLost = 1000;
    simulation.setFaults(faults);
    const CallId call = simulation.request(0, "a", 3s);
    simulation.run(4s);
    CHECK(isAnswered(simulation.call(call)));
    CHECK_EQUAL(1, simulation.executionsOf("a"));
}

// An append without an answer takes effect up to a minute later, after its caller got "not run".
// Guards against a key that stays blocked by that claim, which must be released.
TEST(Once, DelayedClaimOfARefusedCallIsReleased)
{
    OnceSimulation::Faults faults;
    faults.appendDelayed = 1000;
    simulation.setFaults(faults);
    const CallId call = simulation.request(0, "a", 400ms);
    simulation.run(1s);
    CHECK(isVerdict(simulation.call(call), Outcome::NotRun, Reason::LogUnavailable));
    simulation.setFaults({});
    simulation.run(70s);
    const CallId again = simulation.request(1, "a", 2s);
    simulation.run(2s);
    CHECK(isAnswered(simulation.call(again)));
    CHECK_EQUAL(1, simulation.executionsOf("a"));
}

// A daemon is suspended after its claim was granted, and resumes after the claim has expired and
// the key has run elsewhere. Guards against a second run by the resumed daemon.
TEST(Once, HolderFrozenPastItsClaimDoesNotStart)
{
    OnceSimulation::Faults faults;
    faults.freezeBeforeStart = 1000;
    simulation.setFaults(faults);
    simulation.request(0, "a", 2s);
    simulation.run(20ms);
    simulation.setFaults({});
    simulation.freeze(0, 3 * OnceSimulation::options().window());
    simulation.run(2 * OnceSimulation::options().window());
    const CallId elsewhere = simulation.request(1, "a", 2s);
    simulation.run(3 * OnceSimulation::options().window());
    CHECK(isAnswered(simulation.call(elsewhere)));
    CHECK_EQUAL(1, simulation.executionsOf("a"));
}

TEST(Once, LogRetentionBelowTheClaimWindowIsRejected)
{
    const OnceOptions options;
    CHECK(validateOnceOptions(options, options.window() + 1s).has_value());
    CHECK(validateOnceOptions(options, options.window()).error().code
          == ErrorCode::InvalidArgument);
}

TEST_GROUP(ClaimTable)
{
    OnceOptions options;
    std::unique_ptr<IClaimTable> table = makeClaimTable(options, 1);
    TimePoint now{ std::chrono::hours(1) };

    void setup() override
    {
        table->restart(now, LogOffset(0));
    }
};

TEST(ClaimTable, FirstClaimWinsUntilItsReleaseByItsHolder)
{
    ClaimBatch a = claimOf("a", 1, 0);
    ClaimBatch b = claimOf("b", 1, 0);
    CHECK(table->apply(&a).front().isFirst);
    const auto second = table->apply(&b).front();
    CHECK_FALSE(second.isFirst);
    CHECK(second.blocker->daemon == DaemonId("a"));

    const ClaimBatch release = claimOf("b", 1, 0, ClaimKind::Release);
    table->apply(&release);
    CHECK(table->holder(RuleName("pay"), IdempotencyKey("k"))->daemon == DaemonId("a"));
    const ClaimBatch own = claimOf("a", 1, 0, ClaimKind::Release);
    table->apply(&own);
    CHECK_FALSE(table->holder(RuleName("pay"), IdempotencyKey("k")).has_value());
}

// A claim is sent again when the answer to its append was lost. Guards against a copy that blocks
// the claim itself.
TEST(ClaimTable, CopiesOfAClaimAreOneClaim)
{
    const ClaimBatch a = claimOf("a", 1, 0);
    CHECK(table->apply(&a).front().isFirst);
    CHECK(table->apply(&a).front().isFirst);
    CHECK_EQUAL(1, table->size());
}

TEST(ClaimTable, ClaimsBelowTheHorizonDoNotBlock)
{
    const ClaimBatch a = claimOf("a", 1, 0);
    table->apply(&a);
    CHECK(table->advanceHorizon(now) == LogOffset(0));
    CHECK(table->advanceHorizon(now + options.window()) == LogOffset(0));
    now += 2 * options.window() + 1s;
    CHECK(table->advanceHorizon(now) == LogOffset(1));
    const ClaimBatch b = claimOf("b", 1, 1);
    CHECK(table->apply(&b).front().isFirst);
}

TEST(ClaimTable, TableOverCapacityGrantsNoClaim)
{
    options.maxTableEntries = 1;
    table = makeClaimTable(options, 1);
    table->restart(now, LogOffset(0));
    ClaimBatch a = claimOf("a", 1, 0);
    table->apply(&a);
    a.entries.front().key = IdempotencyKey("other");
    table->apply(&a);
    CHECK(table->isOverCapacity());
    a.entries.front().key = IdempotencyKey("third");
    CHECK_FALSE(table->apply(&a).front().isFirst);
    CHECK_EQUAL(1, table->size());
}
