#include <csignal>

#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t REQUESTS = 60;
constexpr std::size_t VICTIM = 1;

} // namespace

/// Records may not be repeated, so what callers are told decides whether they send them again.
struct NotRunOutcomeFixture : FailureTest
{

    /// Requests through all daemons; returns when the victim's server works on some of them.
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

// 1. Sixty records are sent through three daemons; the second daemon's server works on some.
// 2. That daemon is killed. Its callers and the other entries lose their connections.
// 3. What may have started is "unknown"; whoever hears "not run" can send again safely.
TEST(NotRunOutcome, IsCorrectWhenADaemonIsKilled)
{
    sendUntilVictimIsBusy();
    m_trial->host(VICTIM).process.signal(SIGKILL);
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
    CHECK(countTold(history, Told::Unknown) > 0);
    CHECK(countTold(history, Told::Answered) > 0);
}

// 1. As above, but the daemon is frozen until every caller has been told something.
// 2. It wakes and may start what it still finds in its sockets: nobody was told "not run" of that.
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
