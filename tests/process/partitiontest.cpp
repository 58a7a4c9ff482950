#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t BOOKINGS = 15;

} // namespace

/// Daemons reach each other through links that carry nothing across the partition, both ways.
struct PartitionFixture : FailureTest
{

    void startPartitioned(const std::set<std::string> &domains)
    {
        const bool hasLinks = true;
        startTrial(makeTrialGraph(), {}, true, hasLinks);
        CHECK(m_trial->setBehaviour("", R"({"slowdown":5})"));
        m_trial->deployment().separate(domains);
    }
    void sendBookings(std::uint32_t first)
    {
        for (std::uint32_t i = first; i < first + BOOKINGS; ++i) {
            for (std::size_t entry = 0; entry < 3; ++entry) {
                CallerPlan plan = m_trial->planOnce("booking-" + std::to_string(i), entry);
                plan.pause = std::chrono::milliseconds(100);
                m_trial->callers().send(plan);
            }
        }
    }
    void checkMerged()
    {
        std::string error;
        m_trial->deployment().separate({});
        const bool isMerged =
            m_trial->deployment().waitUntilComplete(std::chrono::seconds(30), error);
        CHECK_TRUE_TEXT(isMerged, error.c_str());
    }
};

TEST_GROUP_BASE(Partition, PartitionFixture){};

// One failure domain is cut off from the others; all reach the platform. Callers send each booking
// to both sides. Only one side can win its claim; both sides go on serving, and merge afterwards.
TEST(Partition, BothSidesServeAndNoBookingRunsTwice)
{
    startPartitioned({ "hall-a" });
    sendBookings(0);
    CHECK(m_trial->isServingAgain("during"));
    checkMerged();
    sendBookings(BOOKINGS);
    const History history = m_trial->history();
    checkClean(checkAll(history, m_trial->graph()));
}

// Two faults at once: the domain is cut off from its peers and from the platform. It goes on with
// pages, and refuses bookings with a key, with proof that they did not run.
TEST(Partition, ADomainCutOffFromEverythingStillServesPages)
{
    startPartitioned({ "hall-a" });
    CHECK(m_trial->setLogFaults(R"({"cut_clients":["desk-1"]})"));
    sendBookings(0);
    std::uint32_t tries = 0;
    CHECK(waitUntil([&] {
        const std::string token = "page-" + std::to_string(++tries);
        CallerPlan plan = m_trial->plan(m_page, token);
        plan.entries = { m_trial->host(0).caller };
        m_trial->callers().send(plan);
        return waitUntil([&] {
                   for (const CallerAction &action : m_trial->callers().actions()) {
                       if (action.token == token) {
                           return true;
                       }
                   }
                   return false;
               })
            && m_trial->startCount(token) == 1;
    }));
    CHECK(m_trial->setLogFaults(R"({"cut_clients":[]})"));
    checkMerged();
    CHECK(m_trial->isServingAgain("after"));
    checkClean(checkAll(m_trial->history(), m_trial->graph()));
}
