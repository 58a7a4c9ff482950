#include "app/tests/mocks/ratelimitedfleet.h"

#include "app/tests/mocks/ratelimitedserver.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HOSTS = 6;
constexpr Duration WARM_UP = 5s;
constexpr Duration LENGTH = 20s;

} // namespace

TEST_GROUP(RateLimitedFleet)
{
    RateLimitedFleet m_fleet{ HOSTS };

    void checkWindow(std::size_t host, double limit)
    {
        CHECK(maxArrivalsIn(m_fleet.arrivals(host), 4s) <= maxAllowedIn(4s, limit));
    }
    double used(std::size_t host, double limit) const
    {
        return static_cast<double>(m_fleet.arrivals(host).size()) / (limit * toSeconds(LENGTH));
    }
    /// Two of the servers state 20 requests a second, 300 are demanded of all.
    void checkTwoLimited(std::size_t first, std::size_t second)
    {
        m_fleet.setLimit(first, 20);
        m_fleet.setLimit(second, 20);
        m_fleet.run(WARM_UP, 300);
        const auto totals = m_fleet.run(LENGTH, 300);
        CHECK(totals.served >= 0.98 * totals.requests);
        CHECK(totals.refusedAttempts <= 0.02 * totals.requests);
        for (const std::size_t host : { first, second }) {
            checkWindow(host, 20);
            CHECK(used(host, 20) >= 0.95);
        }
    }
};

// Guards against calls that spend their attempts on limited servers while others are free.
TEST(RateLimitedFleet, DemandBeyondTheLimitsGoesToFreeServers)
{
    checkTwoLimited(0, 1);
}

TEST(RateLimitedFleet, LimitedServersOfOneFailureDomainAreUsed)
{
    checkTwoLimited(0, 2);
}

// Guards against tokens of a small limit that are lost because the calls for it come in clusters.
TEST(RateLimitedFleet, SmallLimitIsUsed)
{
    m_fleet.setLimit(3, 5);
    m_fleet.run(WARM_UP, 300);
    m_fleet.run(LENGTH, 300);
    checkWindow(3, 5);
    CHECK(used(3, 5) >= 0.95);
}

// Guards against requests that fail because all servers of their failure domain are limited.
TEST(RateLimitedFleet, DemandOfALimitedFailureDomainGoesToOthers)
{
    for (const std::size_t host : { 0, 2, 4 }) {
        m_fleet.setLimit(host, 20);
    }
    m_fleet.run(WARM_UP, 300);
    const auto totals = m_fleet.run(LENGTH, 300);
    CHECK(totals.served >= 0.98 * totals.requests);
    for (const std::size_t host : { 0, 2, 4 }) {
        checkWindow(host, 20);
        CHECK(used(host, 20) >= 0.95);
    }
}

// Guards against limits that are not used although all servers state one.
TEST(RateLimitedFleet, LimitsOfAllServersAreUsed)
{
    for (std::size_t host = 0; host < HOSTS; ++host) {
        m_fleet.setLimit(host, 20);
    }
    m_fleet.run(WARM_UP, 360);
    const auto totals = m_fleet.run(LENGTH, 360);
    for (std::size_t host = 0; host < HOSTS; ++host) {
        checkWindow(host, 20);
        CHECK(used(host, 20) >= 0.95);
    }
    CHECK_EQUAL(0, totals.endsWithoutRetryAfter);
}

// Guards against important requests that are refused for others while all servers are limited.
TEST(RateLimitedFleet, ImportantRequestsAreServedFirstWhenAllServersAreLimited)
{
    for (std::size_t host = 0; host < HOSTS; ++host) {
        m_fleet.setLimit(host, 20);
    }
    m_fleet.run(WARM_UP, 360, 0.2);
    const auto totals = m_fleet.run(LENGTH, 360, 0.2);
    CHECK(totals.importantServed >= 0.95 * totals.importantRequests);
}

// Guards against a server that gets too little, or learns a lower capacity, after its limit is
// lifted.
TEST(RateLimitedFleet, ServersAreFullyUsedOneSecondAfterTheLimitIsLifted)
{
    for (std::size_t host = 0; host < HOSTS; ++host) {
        m_fleet.setLimit(host, 20);
    }
    m_fleet.run(WARM_UP, 360);
    for (std::size_t host = 0; host < HOSTS; ++host) {
        m_fleet.setLimit(host, std::nullopt);
    }
    m_fleet.run(1s, 360);
    const auto totals = m_fleet.run(2s, 360);
    CHECK(totals.served >= 0.98 * totals.requests);
}

// Guards against a server that stays without calls because nobody asks it any more.
TEST(RateLimitedFleet, LiftedLimitOfZeroIsNoticed)
{
    m_fleet.setLimit(3, 0);
    m_fleet.run(WARM_UP, 300);
    m_fleet.setLimit(3, std::nullopt);
    m_fleet.run(4s, 300);
    m_fleet.run(LENGTH, 300);
    CHECK(m_fleet.arrivals(3).size() >= 40 * toSeconds(LENGTH));
}

TEST(RateLimitedFleet, ServerAtZeroCostsNoRequests)
{
    m_fleet.setLimit(3, 0);
    m_fleet.run(WARM_UP, 300);
    const auto totals = m_fleet.run(LENGTH, 300);
    checkWindow(3, 0);
    CHECK(totals.served >= 0.98 * totals.requests);
}
