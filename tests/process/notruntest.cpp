#include <csignal>

#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t REQUESTS = 60;
constexpr std::size_t VICTIM = 1;

} // namespace

/// Records are not repeatable, so callers retry only after the outcome "not run". That outcome must
/// never be reported for a request that was started.
struct NotRunOutcomeFixture : FailureTest
{

    /// Sends requests through all daemons until the victim's server runs at least one of them.
    void sendUntilVictimIsBusy()
    {
        startTrial(makeTrialGraph());
        CHECK(m_trial->setBehaviour("", R"({"slowdown":20})"));
        for (std::uint32_t i = 0; i < REQUESTS; ++i) {
            m_trial->callers().send(m_trial->plan(m_record, "record-" + std::to_string(i), i));
        }
        CHECK(waitUntil([this] { return startCountAt(m_trial->host(VICTIM).name) > 0; }));
    }
};

TEST_GROUP_BASE(NotRunOutcome, NotRunOutcomeFixture){};

// 1. Sixty records are sent through three daemons; the second daemon's server runs some of them.
// 2. That daemon is killed. Its callers and the other daemons lose their connections to it.
// 3. Requests that may have started are reported as "unknown"; "not run" means that it is safe to
//    send the request again.
TEST(NotRunOutcome, IsCorrectWhenADaemonIsKilled)
{
    sendUntilVictimIsBusy();
    m_trial->host(VICTIM).process.signal(SIGKILL);
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    CHECK(countTold(history, Told::Unknown) > 0);
    CHECK(countTold(history, Told::Answered) > 0);
}

// 1. As above, but the daemon is suspended until every caller has an outcome.
// 2. When resumed it may start requests still buffered in its sockets. None of them may have been
//    reported as "not run".
TEST(NotRunOutcome, IsCorrectWhenADaemonIsSuspendedAndResumed)
{
    sendUntilVictimIsBusy();
    m_trial->host(VICTIM).process.signal(SIGSTOP);
    m_trial->callers().waitForAll();
    m_trial->host(VICTIM).process.signal(SIGCONT);
    CHECK(m_trial->isServingAgain("after"));
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    CHECK(countTold(history, Told::Unknown) > 0);
}
