#include <csignal>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar;
using namespace ivyspar::lab;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t BOOKINGS = 15;
constexpr std::size_t VICTIM = 1;

std::string tokenOf(std::uint32_t i)
{
    return "booking-" + std::to_string(i);
}

} // namespace

/// Sends each booking, with its idempotency key, through all three daemons concurrently. Callers
/// retry until they get an answer.
struct AtMostOnceFixture : FailureTest
{
    std::uint32_t m_attempts = 60;

    void sendBooking(std::uint32_t number)
    {
        for (std::size_t i = 0; i < m_trial->deployment().hosts().size(); ++i) {
            CallerPlan plan = m_trial->planOnce(tokenOf(number), VICTIM + i);
            plan.pause = std::chrono::milliseconds(100);
            plan.attempts = m_attempts;
            m_trial->callers().send(plan);
        }
    }
    void sendBookings()
    {
        for (std::uint32_t i = 0; i < BOOKINGS; ++i) {
            sendBooking(i);
        }
    }
    /// Any daemon may win a claim, so bookings are sent until the server of the victim runs one.
    void sendUntilVictimIsBusy(std::uint32_t attempts)
    {
        m_attempts = attempts;
        startTrial(makeTrialGraph());
        CHECK(m_trial->setBehaviour("", R"({"slowdown":10})"));
        sendBookings();
        std::uint32_t next = BOOKINGS;
        CHECK(waitUntil([&] {
            sendBooking(next++);
            return startCountAt(m_trial->host(VICTIM).name) > 0;
        }));
    }
    History checkedHistory()
    {
        History history = m_trial->history();
        checkNoViolations(checkAll(history, m_trial->graph()));
        return history;
    }
    void setFaults(const std::string &faults) { CHECK(m_trial->setLogFaults(faults)); }
    void checkServing() { CHECK(m_trial->isServingAgain("after")); }
    std::string fetchTicket(std::size_t entry)
    {
        const auto answer = exchangeBlocking(m_trial->host(entry).caller,
                                             { "POST", "/tickets", {}, {} }, seconds(5));
        CHECK(answer && answer->status == 201);
        return answer->body.text().substr(0, answer->body.text().find('\n'));
    }
};

TEST_GROUP_BASE(AtMostOnce, AtMostOnceFixture){};

// The same key arrives at three daemons concurrently. The first claim in the log wins. The other
// requests wait for it or are told that the key is busy, and then get the stored answer.
TEST(AtMostOnce, OneKeyThroughAllDaemonsRunsOnce)
{
    startTrial(makeTrialGraph());
    sendBookings();
    const History history = checkedHistory();
    CHECK_EQUAL(BOOKINGS, countServed(history));
}

// Counter-check: without the key the same booking runs several times, and the check detects it.
TEST(AtMostOnce, BookingsWithoutAKeyRunMoreThanOnce)
{
    startTrial(makeTrialGraph());
    for (std::size_t entry = 0; entry < 3; ++entry) {
        CallerPlan plan = m_trial->planOnce("booking", entry);
        plan.key.clear();
        m_trial->callers().send(plan);
    }
    CHECK_EQUAL(1, checkOnce(m_trial->history()).size());
}

// A daemon that holds claims is killed while its server runs requests, and callers retry at other
// daemons. A request that it may have sent is never sent again. A request that it had not sent may
// run once the daemon is known to be gone.
TEST(AtMostOnce, HoldsWhenTheClaimHolderIsKilled)
{
    sendUntilVictimIsBusy(20);
    m_trial->host(VICTIM).process.signal(SIGKILL);
    checkedHistory();
    std::string error;
    CHECK_TRUE_TEXT(m_trial->deployment().restartHost(m_trial->host(VICTIM), error), error.c_str());
    checkServing();
}

// A daemon that holds claims is suspended until every caller has given up or was served. When
// resumed it still assumes that it holds the claims, but it must not start requests that other
// daemons may have run in the meantime.
TEST(AtMostOnce, HoldsWhenTheClaimHolderIsSuspendedPastEveryTimeout)
{
    // While the holder is suspended, each attempt may use its full timeout of three seconds.
    constexpr std::uint32_t ATTEMPTS = 2;
    sendUntilVictimIsBusy(ATTEMPTS);
    m_trial->host(VICTIM).process.signal(SIGSTOP);
    m_trial->callers().waitForAll();
    m_trial->host(VICTIM).process.signal(SIGCONT);
    checkServing();
    checkedHistory();
}

// The log loses the answers to ten appends: five after the append took effect and five before. A
// claim whose answer is lost is read back; a missing answer does not count as a failed append.
TEST(AtMostOnce, HoldsWhenLogAnswersAreLost)
{
    startTrial(makeTrialGraph());
    setFaults(R"({"lost_after":5,"lost_before":5})");
    sendBookings();
    checkedHistory();
    checkServing();
    checkedHistory();
}

// The log is unavailable while bookings arrive, and slow after it recovers. During the outage
// bookings with keys are refused as "not run"; afterwards all of them are served.
TEST(AtMostOnce, HoldsWhenTheLogIsUnavailableThenSlow)
{
    startTrial(makeTrialGraph());
    setFaults(R"({"down":true})");
    sendBookings();
    CHECK(waitUntil([this] { return m_trial->callers().attemptCount() >= 3 * BOOKINGS; }));
    CHECK_EQUAL(0, m_trial->starts().size());
    setFaults(R"({"down":false,"answer_delay_ms":200,"effect_delay_ms":100})");
    const History history = checkedHistory();
    CHECK_EQUAL(BOOKINGS, countServed(history));
}

// Two concurrent faults: the log stops responding and the claim holder is killed. Both recover.
TEST(AtMostOnce, HoldsWhenTheClaimHolderIsKilledWhileTheLogIsUnresponsive)
{
    sendUntilVictimIsBusy(20);
    setFaults(R"({"silent":true})");
    m_trial->host(VICTIM).process.signal(SIGKILL);
    std::string error;
    CHECK_TRUE_TEXT(m_trial->deployment().restartHost(m_trial->host(VICTIM), error), error.c_str());
    setFaults(R"({"silent":false})");
    checkedHistory();
    checkServing();
}

// Tickets are fetched before the log becomes unavailable. A booking with a ticket does not need the
// log: it runs once, at the daemon named in the ticket, however many daemons receive it.
TEST(AtMostOnce, TicketsWorkWhileTheLogIsUnavailable)
{
    startTrial(makeTrialGraph());
    std::vector<std::string> tickets;
    for (std::uint32_t i = 0; i < BOOKINGS; ++i) {
        tickets.push_back(fetchTicket(i % 3));
    }
    setFaults(R"({"down":true})");
    for (std::uint32_t i = 0; i < BOOKINGS; ++i) {
        for (std::size_t entry = 0; entry < 3; ++entry) {
            CallerPlan plan = m_trial->planOnce(tokenOf(i), entry);
            plan.key.clear();
            plan.ticket = tickets[i];
            m_trial->callers().send(plan);
        }
    }
    const History history = checkedHistory();
    CHECK_EQUAL(BOOKINGS, countServed(history));
}
