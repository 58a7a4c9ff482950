#include "coordination/once/oncefactory.h"

#include "coordination/once/tests/mocks/oncefabric.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

bool isVerdict(const OnceFabric::Call &call, Outcome outcome, Reason reason)
{
    return call.ends == 1 && call.verdict.outcome == outcome && call.verdict.reason == reason;
}

bool isAnswered(const OnceFabric::Call &call)
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
    OnceFabric fabric{ 1, 3 };

    void setup() override
    {
        fabric.run(1s);
    }
    void teardown() override
    {
        for (const std::string &violation : fabric.violations()) {
            FAIL(violation.c_str());
        }
    }
};

// A caller's client repeats a payment while the first attempt still runs on that daemon.
TEST(Once, AttemptsAtTheHolderGetTheOneAnswer)
{
    const CallId first = fabric.request(0, "a", 2s);
    const CallId second = fabric.request(0, "a", 2s);
    fabric.run(2s);
    const CallId third = fabric.request(0, "a", 2s);
    fabric.run(1s);
    for (const CallId call : { first, second, third }) {
        CHECK(isAnswered(fabric.call(call)));
        CHECK(fabric.call(call).body == fabric.call(first).body);
    }
    CHECK_EQUAL(1, fabric.executionsOf("a"));
}

TEST(Once, AttemptElsewhereIsToldTheHolder)
{
    fabric.request(0, "a", 2s);
    fabric.run(1s);
    const CallId elsewhere = fabric.request(1, "a", 2s);
    fabric.run(1s);
    CHECK(isVerdict(fabric.call(elsewhere), Outcome::Unknown, Reason::KeyBusy));
    CHECK(fabric.call(elsewhere).holder == DaemonId("daemon-0"));
}

// The daemon that ran a payment dies. Nobody knows the result any more, and nobody may say that it
// was not run.
TEST(Once, KeyOfACrashedHolderIsUnknown)
{
    fabric.request(0, "a", 2s);
    fabric.run(1s);
    fabric.crash(0);
    const CallId elsewhere = fabric.request(1, "a", 2s);
    const CallId same = fabric.request(0, "a", 2s);
    fabric.run(2s);
    CHECK(isVerdict(fabric.call(elsewhere), Outcome::Unknown, Reason::KeyHolderGone));
    CHECK(isVerdict(fabric.call(same), Outcome::Unknown, Reason::KeyHolderGone));
}

TEST(Once, KeyCanBeUsedAgainAfterItsLifetime)
{
    fabric.request(0, "a", 2s);
    fabric.run(2 * OnceFabric::options().window());
    const CallId later = fabric.request(1, "a", 2s);
    fabric.run(2s);
    CHECK(isAnswered(fabric.call(later)));
    CHECK_EQUAL(2, fabric.executionsOf("a"));
}

TEST(Once, OtherRequestWithTheSameKeyIsRefused)
{
    fabric.request(0, "a", 2s, 1);
    const CallId other = fabric.request(0, "a", 2s, 2);
    fabric.run(1s);
    CHECK(isVerdict(fabric.call(other), Outcome::NotRun, Reason::BadRequest));
}

// The upstream refuses a payment before it starts it. The caller tries again through another daemon
// and must not find the key blocked.
TEST(Once, KeyOfARefusedCallIsReleased)
{
    OnceFabric::Faults faults;
    faults.refusedByUpstream = 1000;
    fabric.setFaults(faults);
    const CallId refused = fabric.request(0, "a", 2s);
    fabric.run(1s);
    CHECK(isVerdict(fabric.call(refused), Outcome::NotRun, Reason::UpstreamRefused));
    fabric.setFaults({});
    const CallId again = fabric.request(1, "a", 2s);
    fabric.run(2s);
    CHECK(isAnswered(fabric.call(again)));
}

// While the log is down, a payment is refused at once and not after its caller's deadline.
TEST(Once, LogOutageRefusesAtOnceAndEnds)
{
    fabric.setOutage(true);
    fabric.run(2s);
    const CallId refused = fabric.request(0, "a", 30s);
    fabric.run(500ms);
    CHECK(isVerdict(fabric.call(refused), Outcome::NotRun, Reason::LogUnavailable));
    fabric.setOutage(false);
    fabric.run(2s);
    const CallId again = fabric.request(0, "a", 2s);
    fabric.run(2s);
    CHECK(isAnswered(fabric.call(again)));
}

// Every append takes effect, and every answer to it is lost. Reading on settles it.
TEST(Once, LostAppendAnswersAreSettledByReading)
{
    OnceFabric::Faults faults;
    faults.lostAfter = 1000;
    fabric.setFaults(faults);
    const CallId call = fabric.request(0, "a", 3s);
    fabric.run(4s);
    CHECK(isAnswered(fabric.call(call)));
    CHECK_EQUAL(1, fabric.executionsOf("a"));
}

// The answer is lost, and so is the append, which arrives half a minute later. The caller was told
// "not run"; the claim that turns up is released, and the key is free for the next attempt.
TEST(Once, ClaimThatArrivesLateIsReleased)
{
    OnceFabric::Faults faults;
    faults.lostLate = 1000;
    fabric.setFaults(faults);
    const CallId call = fabric.request(0, "a", 400ms);
    fabric.run(1s);
    CHECK(isVerdict(fabric.call(call), Outcome::NotRun, Reason::LogUnavailable));
    fabric.setFaults({});
    fabric.run(70s);
    const CallId again = fabric.request(1, "a", 2s);
    fabric.run(2s);
    CHECK(isAnswered(fabric.call(again)));
    CHECK_EQUAL(1, fabric.executionsOf("a"));
}

// A daemon is stopped after its claim has won, and wakes up when the key has long passed on and run
// elsewhere. It must not send the payment that it still holds in its hands.
TEST(Once, FrozenHolderDoesNotStartAfterwards)
{
    OnceFabric::Faults faults;
    faults.freezeBeforeStart = 1000;
    fabric.setFaults(faults);
    fabric.request(0, "a", 2s);
    fabric.run(20ms);
    fabric.setFaults({});
    fabric.freeze(0, 3 * OnceFabric::options().window());
    fabric.run(2 * OnceFabric::options().window());
    const CallId elsewhere = fabric.request(1, "a", 2s);
    fabric.run(3 * OnceFabric::options().window());
    CHECK(isAnswered(fabric.call(elsewhere)));
    CHECK_EQUAL(1, fabric.executionsOf("a"));
}

TEST(Once, RetentionBelowTheWindowIsRefused)
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

// A second copy of a claim, sent since the first one's answer was lost, is no other claim.
TEST(ClaimTable, CopiesOfAClaimAreOneClaim)
{
    const ClaimBatch a = claimOf("a", 1, 0);
    CHECK(table->apply(&a).front().isFirst);
    CHECK(table->apply(&a).front().isFirst);
    CHECK_EQUAL(1, table->size());
}

TEST(ClaimTable, HorizonLetsOldClaimsPass)
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

TEST(ClaimTable, OverfullTableTakesNoClaimForTheFirst)
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
