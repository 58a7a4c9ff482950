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
    /// Callers that come back whatever they are told.
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

// A chain of 25 calls, the last of which always fails; callers come back twenty times, whatever
// they are told. The budget goes with the request and callers' attempts are counted, so one tap
// starts no more than its rule allows, although each of 25 hops and the caller could repeat.
TEST(BoundedAttempts, AFailingLeafStaysWithinTheAttemptBudget)
{
    startChain({});
    sendRetryingCallers(4);
    const History history = m_trial->history();
    checkNoViolations(checkBudget(history));
    checkNoViolations(checkNotRun(history));
    CHECK(countStarts(history, "tap-0") >= DEPTH);
}

// Counter-check: without the budget the same callers start more, and the check sees it.
TEST(BoundedAttempts, AttemptsExceedTheBoundWithoutABudget)
{
    startChain({ "--ablate=budget" });
    sendRetryingCallers(1);
    CHECK_EQUAL(1, checkBudget(m_trial->history()).size());
}

// The same, and each hop drops the header that ties its calls to the request. Such a call gets a
// single attempt; with a budget of its own at each hop attempts would multiply with depth.
TEST(BoundedAttempts, HopsThatDropTheContextDoNotMultiplyAttempts)
{
    startChain({});
    CHECK(m_trial->setBehaviour("", R"({"contextDropped":true})"));
    sendRetryingCallers(4);
    const History history = m_trial->history();
    checkNoViolations(checkBudget(history));
    CHECK(countStarts(history, "tap-0") >= DEPTH);
}

// Counter-check: when every hop repeats what failed below it, with a budget of its own, one single
// attempt of the caller starts more than the whole action may. The deadline alone ends it.
TEST(BoundedAttempts, RetriesAtEveryHopMultiplyWithoutABudget)
{
    startChain({ "--ablate=budget,retry-tokens" });
    CallerPlan plan = m_trial->plan({ "chain", "GET", chainPath(0) }, "tap");
    plan.budget = ATTEMPT_BUDGET;
    m_trial->callers().send(plan);
    CHECK_EQUAL(1, checkBudget(m_trial->history()).size());
}
