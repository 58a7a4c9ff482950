#include <cmath>
#include <map>

#include "coordination/routing/iweightedsplit.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

RuleSpec makeRule(std::uint32_t first, std::uint32_t second)
{
    RuleSpec rule;
    rule.name = RuleName("r");
    rule.split = { { ServiceName("a"), first }, { ServiceName("b"), second } };
    return rule;
}

} // namespace

TEST_GROUP(WeightedSplit)
{
    SeededRandom m_random{ 7 };
    std::unique_ptr<IWeightedSplit> m_split = makeWeightedSplit();
};

// A small entry receives few requests: chosen at random, ten of them would deviate by a third.
TEST(WeightedSplit, KeepsTheWeightsToWithinOneRequest)
{
    const RuleSpec rule = makeRule(90, 10);
    std::map<ServiceName, int> counts;
    for (int i = 1; i <= 500; ++i) {
        ++counts[m_split->choose(rule, m_random)];
        CHECK(std::abs(counts[ServiceName("b")] - 0.1 * i) <= 1.0);
    }
}

TEST(WeightedSplit, PartWithZeroWeightIsNotChosen)
{
    const RuleSpec rule = makeRule(1, 0);
    for (int i = 0; i < 50; ++i) {
        CHECK(m_split->choose(rule, m_random) == ServiceName("a"));
    }
}

// Entries that start together must not all send their first requests to the same part.
TEST(WeightedSplit, EntriesStartWithDifferentParts)
{
    const RuleSpec rule = makeRule(50, 50);
    std::map<ServiceName, int> firsts;
    for (int i = 0; i < 100; ++i) {
        m_split->reset();
        ++firsts[m_split->choose(rule, m_random)];
    }
    CHECK(firsts[ServiceName("a")] > 20);
    CHECK(firsts[ServiceName("b")] > 20);
}
