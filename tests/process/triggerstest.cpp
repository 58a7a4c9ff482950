#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t DEPTH = 8;
constexpr std::uint32_t ATTEMPT_BUDGET = chainAttempts(DEPTH) * CHAIN_CALLER_ATTEMPTS;
constexpr std::uint32_t CALLERS = 150;

} // namespace

struct TriggersFixture : FailureTest
{
    void sendRetryingCallers(const std::string &prefix, std::uint32_t callers)
    {
        for (std::uint32_t i = 0; i < callers; ++i) {
            CallerPlan plan =
                m_trial->plan({ "chain", "GET", chainPath(0) }, prefix + std::to_string(i), i);
            plan.attempts = 10;
            plan.isRepeatingErrors = true;
            plan.isRepeatingUnknown = true;
            plan.budget = ATTEMPT_BUDGET;
            m_trial->callers().send(plan);
        }
    }
    std::size_t countServedWithPrefix(const History &history, const std::string &prefix)
    {
        History matching;
        for (const CallerAction &action : history.actions) {
            if (action.token.rfind(prefix, 0) == 0) {
                matching.actions.push_back(action);
            }
        }
        return countServed(matching);
    }
};

TEST_GROUP_BASE(Triggers, TriggersFixture){};

// Three concurrent triggers: every call of a chain is slowed down by a factor of 60, more callers
// than slots arrive, and they retry whatever the outcome. Attempts stay bounded, and a new request
// is served completely once the slowdown ends.
TEST(Triggers, SlownessSurgeAndRetriesStayBoundedAndServiceRecovers)
{
    startTrial(makeChainGraph(DEPTH), {}, false);
    CHECK(m_trial->setBehaviour("", R"({"slowdown":60})"));
    sendRetryingCallers("surge-", CALLERS);
    CHECK(waitUntil([this] { return m_trial->callers().attemptCount() >= CALLERS; }));
    CHECK(m_trial->setBehaviour("", R"({"slowdown":1})"));
    std::uint32_t requestNumber = 0;
    CHECK(waitUntil([&] {
        const std::string token = "later-" + std::to_string(++requestNumber) + '-';
        sendRetryingCallers(token, 1);
        return countServedWithPrefix(m_trial->history(), token) == 1;
    }));
    checkNoViolations(checkAll(m_trial->history(), m_trial->graph()));
}

// A server is many times slower than the others, as after a cold start, and announces more slots
// than it has. Requests are refused or served completely; "not run" is never reported for a request
// that ran.
TEST(Triggers, AColdServerThatOverstatesItsSlotsIsTolerated)
{
    startTrial(makeTrialGraph(), {}, false);
    CHECK(m_trial->setBehaviour("desk-1", R"({"slowdown":40,"announcedSlots":400})"));
    for (std::uint32_t i = 0; i < CALLERS; ++i) {
        CallerPlan plan = m_trial->plan(m_record, "record-" + std::to_string(i), i);
        plan.attempts = 30;
        plan.pause = std::chrono::milliseconds(100);
        m_trial->callers().send(plan);
    }
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    CHECK(countServed(history) > CALLERS / 2);
}
