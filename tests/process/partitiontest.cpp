#include <algorithm>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"
#include "tests/process/failuretest.h"

using namespace ivyspar::lab;

namespace {

constexpr std::uint32_t BOOKINGS = 15;

} // namespace

/// Daemons are connected through links that drop all traffic across the partition, in both
/// directions.
struct PartitionFixture : FailureTest
{

    std::uint32_t m_pageCount = 0;

    void startPartitioned(const std::set<std::string> &domains)
    {
        const bool hasLinks = true;
        startTrial(makeTrialGraph(), {}, true, hasLinks);
        CHECK(m_trial->setBehaviour("", R"({"slowdown":5})"));
        m_trial->deployment().separate(domains);
        CHECK(waitUntil([this] { return aliveMemberCount(0) == 1 && aliveMemberCount(1) == 2; }));
    }
    /// Number of daemons that this daemon considers alive, including itself.
    std::size_t aliveMemberCount(std::size_t host)
    {
        const auto answer = exchangeBlocking(m_trial->host(host).operators,
                                             { "GET", "/status", {}, {} }, std::chrono::seconds(5));
        const auto status = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
        std::size_t alive = 0;
        for (const auto &member : status.is_object() ? status["members"] : nlohmann::json()) {
            alive += member.value("health", "") == "alive" ? 1 : 0;
        }
        return alive;
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
    /// Sends a page request through the first daemon. Returns whether it completed and was started
    /// exactly once.
    bool sendPage()
    {
        const std::string token = "page-" + std::to_string(++m_pageCount);
        CallerPlan plan = m_trial->plan(m_page, token);
        plan.entries = { m_trial->host(0).caller };
        m_trial->callers().send(plan);
        const auto isForToken = [&](const CallerAction &action) { return action.token == token; };
        const bool isCompleted = waitUntil([&] {
            const auto actions = m_trial->callers().actions();
            return std::any_of(actions.begin(), actions.end(), isForToken);
        });
        return isCompleted && m_trial->startCount(token) == 1;
    }
    void healPartition()
    {
        std::string error;
        m_trial->deployment().separate({});
        const bool isMerged =
            m_trial->deployment().waitUntilComplete(std::chrono::seconds(30), error);
        CHECK_TRUE_TEXT(isMerged, error.c_str());
    }
};

TEST_GROUP_BASE(Partition, PartitionFixture){};

// One failure domain is cut off from the others, and all can reach the platform. Callers send each
// booking to both sides. Only one side can win its claim. Both sides continue to serve requests and
// merge after the partition.
TEST(Partition, BothSidesServeAndNoBookingRunsTwice)
{
    startPartitioned({ "hall-a" });
    sendBookings(0);
    CHECK(m_trial->isServingAgain("during"));
    healPartition();
    sendBookings(BOOKINGS);
    const History history = m_trial->history();
    checkNoViolations(checkAll(history, m_trial->graph()));
}

// Two concurrent faults: the failure domain is cut off from its peers and from the platform. It
// continues to serve pages and refuses bookings with a key as "not run".
TEST(Partition, AnIsolatedDomainStillServesPages)
{
    startPartitioned({ "hall-a" });
    CHECK(m_trial->setLogFaults(R"({"cut_clients":["desk-1"]})"));
    sendBookings(0);
    CHECK(waitUntil([this] { return sendPage(); }));
    CHECK(m_trial->setLogFaults(R"({"cut_clients":[]})"));
    healPartition();
    CHECK(m_trial->isServingAgain("after"));
    checkNoViolations(checkAll(m_trial->history(), m_trial->graph()));
}
