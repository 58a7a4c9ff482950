#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t DEPTH = 25;
constexpr std::uint32_t ATTEMPT_BUDGET = chainAttempts(DEPTH) * CHAIN_CALLER_ATTEMPTS;
constexpr std::uint32_t CALLER_ATTEMPTS = 20;

} // namespace

struct BoundedAttemptsFixture : FailureTest
{
    void startChain(const std::vector<std::string> &flags)
    {
        startTrial(makeChainGraph(DEPTH), flags, false);
        CHECK(m_trial->setBehaviour("", R"({"failPath":")" + chainPath(DEPTH - 1) + R"("})"));
    }
    /// Sends actions whose callers retry whatever the outcome.
    void sendRetryingCallers(std::uint32_t actions)
    {
        for (std::uint32_t i = 0; i < actions; ++i) {
            CallerPlan plan =
                m_trial->plan({ "chain", "GET", chainPath(0) }, "tap-" + std::to_string(i), i);
            plan.attempts = CALLER_ATTEMPTS;
            plan.isRepeatingErrors = true;
            plan.isRepeatingUnknown = true;
            plan.budget = ATTEMPT_BUDGET;
            m_trial->callers().send(plan);
        }
    }
};

TEST_GROUP_BASE(BoundedAttempts, BoundedAttemptsFixture){};

// The last call of a chain of 25 always fails, and callers make twenty attempts whatever the
// outcome. The budget is propagated with the request and the caller's attempts are counted, so one
// action starts no more calls than its rule allows, although each of the 25 hops and the caller
// could retry.
TEST(BoundedAttempts, AFailingLeafStaysWithinTheAttemptBudget)
{
    startChain({});
    sendRetryingCallers(4);
    const History history = m_trial->history();
    checkNoViolations(checkBudget(history));
    checkNoViolations(checkNotRun(history));
    CHECK(countStarts(history, "tap-0") >= DEPTH);
}

// Counter-check: without the budget the same callers exceed the bound, and the check detects it.
TEST(BoundedAttempts, AttemptsExceedTheBoundWithoutABudget)
{
    startChain({ "--ablate=budget" });
    sendRetryingCallers(1);
    CHECK_EQUAL(1, checkBudget(m_trial->history()).size());
}

// As above, but each hop drops the header that associates its calls with the request. Such a call
// gets a single attempt: with a separate budget at each hop, attempts would multiply with depth.
TEST(BoundedAttempts, HopsThatDropTheContextDoNotMultiplyAttempts)
{
    startChain({});
    CHECK(m_trial->setBehaviour("", R"({"contextDropped":true})"));
    sendRetryingCallers(4);
    const History history = m_trial->history();
    checkNoViolations(checkBudget(history));
    CHECK(countStarts(history, "tap-0") >= DEPTH);
}

// Counter-check: when every hop retries failed calls on a budget of its own, a single attempt of
// the caller exceeds the bound of the whole action. Only the deadline ends the retries.
TEST(BoundedAttempts, RetriesAtEveryHopMultiplyWithoutABudget)
{
    startChain({ "--ablate=budget,retry-tokens" });
    CallerPlan plan = m_trial->plan({ "chain", "GET", chainPath(0) }, "tap");
    plan.budget = ATTEMPT_BUDGET;
    m_trial->callers().send(plan);
    CHECK_EQUAL(1, checkBudget(m_trial->history()).size());
}
