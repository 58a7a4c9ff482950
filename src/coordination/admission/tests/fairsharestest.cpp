#include "coordination/admission/internal/fairshares.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr double CHEAP = 120e3;
constexpr double EXPENSIVE = 250e3;

double usedCapacity(const std::vector<RuleDemand> &demands, const std::vector<double> &shares)
{
    double sum = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        sum += demands[i].rate * shares[i];
    }
    return sum;
}

/// Requests served per second.
double served(const std::vector<RuleDemand> &demands, const std::vector<double> &shares)
{
    double sum = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        sum += demands[i].rate * shares[i] / demands[i].cost;
    }
    return sum;
}

} // namespace

TEST_GROUP(FairShares)
{
    /// 446 cheap and 101 expensive requests per second.
    const std::vector<RuleDemand> m_demands{ { 446 * CHEAP, CHEAP },
                                             { 101 * EXPENSIVE, EXPENSIVE } };
    const double m_totalDemand = 446 * CHEAP + 101 * EXPENSIVE;
};

TEST(FairShares, SharesAreEqualIfTheCapacityCoversTheDemand)
{
    for (const double share : allocateShares(m_demands, 1.5 * m_totalDemand)) {
        DOUBLES_EQUAL(1.5, share, 1e-9);
    }
}

// A bottleneck can take two thirds of the demand of two rules. More callers are served than with
// equal shares, the whole capacity is used, and the expensive rule gets two thirds of the other's
// share.
TEST(FairShares, CheapRequestsGetLargerSharesThanExpensiveOnes)
{
    const double capacity = m_totalDemand * 2 / 3;
    const auto shares = allocateShares(m_demands, capacity);
    DOUBLES_EQUAL(capacity, usedCapacity(m_demands, shares), 1);
    CHECK(shares[0] > shares[1]);
    CHECK(served(m_demands, shares) > 1.04 * served(m_demands, { 2.0 / 3, 2.0 / 3 }));
    DOUBLES_EQUAL(std::sqrt(CHEAP / EXPENSIVE), shares[1] / shares[0], 1e-9);
}

// No rule is locked out, however small the capacity.
TEST(FairShares, NoRuleIsStarved)
{
    for (const double part : { 0.5, 0.2, 0.05 }) {
        const auto shares = allocateShares(m_demands, part * m_totalDemand);
        CHECK(shares[1] > 0.6 * part);
        DOUBLES_EQUAL(part * m_totalDemand, usedCapacity(m_demands, shares), 1);
    }
}

// A rule whose demand is fully met leaves the rest of the capacity to the others.
TEST(FairShares, UnusedShareOfACheapRuleGoesToTheOthers)
{
    const std::vector<RuleDemand> demands{ { 1e6, 1e3 }, { 10e6, 100e3 }, { 10e6, 200e3 } };
    const auto shares = allocateShares(demands, 15e6);
    DOUBLES_EQUAL(1, shares[0], 1e-9);
    DOUBLES_EQUAL(15e6, usedCapacity(demands, shares), 1);
    CHECK(shares[1] < 1 && shares[2] < shares[1]);
}

TEST(FairShares, AllSharesAreZeroWithoutCapacity)
{
    for (const double share : allocateShares(m_demands, -5)) {
        DOUBLES_EQUAL(0, share, 0);
    }
}
