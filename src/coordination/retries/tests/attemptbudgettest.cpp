#include "coordination/retries/internal/attemptbudget.h"

#include <optional>

#include <rapidcheck.h>

#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

/// Faults that the property check must detect.
enum class Mutation {
    None,
    LostGrantsReturn, ///< A caller takes back the grant of an answer that was lost.
    CalleeReturnsSpent, ///< A callee returns attempts that it spent.
    SpendsAfterAnswer, ///< A callee spends attempts that it returned.
    MissingContextAddsBudget, ///< A call without context starts a new budget.
};

/// A random call tree whose calls retry and hedge as often as they can.
class RandomTree
{
public:
    RandomTree(std::uint64_t seed, Mutation mutation)
        : m_random(seed)
        , m_mutation(mutation)
        , m_width(1 + m_random.below(5))
        , m_depth(1 + m_random.below(25))
        , m_lossPercent(m_random.below(40))
    {
    }

    /// Attempts that a caller's request makes with this budget.
    std::uint32_t run(std::uint32_t budget)
    {
        Hop hop{ AttemptBudget(AttemptCount(budget)), {} };
        for (int i = 0; i < 3; ++i) {
            call(hop, m_depth);
        }
        return m_attempts;
    }

    bool isConserved = true;
    std::uint32_t withoutContext = 0;

private:
    struct Hop
    {
        AttemptBudget budget;
        /// What it returned with its answer, once it answered.
        std::optional<AttemptCount> returned;
    };

    bool chance(std::uint64_t percent) { return m_random.below(100) < percent; }

    /// Makes a call with random retries or hedges.
    void call(Hop &hop, std::uint64_t depth)
    {
        const std::uint64_t tries = 1 + m_random.below(3);
        for (std::uint64_t i = 0; i < tries; ++i) {
            AttemptCount granted;
            const std::uint32_t before = hop.budget.left().value();
            const AttemptCount needed(static_cast<std::uint32_t>(m_random.below(3)));
            if (!hop.budget.spend(needed, AttemptCount(m_random.below(200)), granted)) {
                isConserved = isConserved && before < 1 + needed.value();
                return;
            }
            const std::uint32_t after = hop.budget.left().value();
            isConserved = isConserved && after + granted.value() + 1 == before;
            isConserved = isConserved && granted >= needed;
            const AttemptCount unspent = attempt(granted, depth - 1);
            if (chance(5)) {
                closeBudget(hop);
            }
            end(hop, granted, unspent);
        }
    }

    void end(Hop &hop, AttemptCount granted, AttemptCount unspent)
    {
        if (!chance(m_lossPercent)) {
            hop.budget.returnUnspent(granted, unspent);
        } else if (m_mutation == Mutation::LostGrantsReturn) {
            hop.budget.returnUnspent(granted, granted);
        }
    }

    /// The hop's upstream answers, possibly while a call below is still outstanding.
    void closeBudget(Hop &hop)
    {
        if (hop.returned) {
            return;
        }
        hop.returned = hop.budget.close();
        if (m_mutation == Mutation::SpendsAfterAnswer) {
            hop.budget = AttemptBudget(*hop.returned);
        }
    }

    /// Runs the attempt at its callee, with all calls below. Returns the unspent attempts.
    AttemptCount attempt(AttemptCount granted, std::uint64_t depth)
    {
        ++m_attempts;
        Hop hop{ AttemptBudget(granted), {} };
        const std::uint64_t calls = depth == 0 ? 0 : m_random.below(m_width + 1);
        for (std::uint64_t i = 0; i < calls && m_attempts < LIMIT; ++i) {
            if (chance(2)) {
                callWithoutContext();
            } else {
                call(hop, depth);
            }
        }
        closeBudget(hop);
        return m_mutation == Mutation::CalleeReturnsSpent ? granted : *hop.returned;
    }

    void callWithoutContext()
    {
        const std::uint32_t budgetSize = m_mutation == Mutation::MissingContextAddsBudget ? 30 : 1;
        AttemptBudget budget{ AttemptCount(budgetSize) };
        AttemptCount granted;
        while (budget.spend(AttemptCount(0), AttemptCount(0), granted)) {
            ++m_attempts;
        }
        ++withoutContext;
    }

    /// Stops runs of mutations, which may become very long.
    static constexpr std::uint32_t LIMIT = 20000;

    SeededRandom m_random;
    Mutation m_mutation;
    std::uint64_t m_width;
    std::uint64_t m_depth;
    std::uint64_t m_lossPercent;
    std::uint32_t m_attempts = 0;
};

bool isWithinBudget(std::uint64_t seed, std::uint32_t budget, Mutation mutation)
{
    RandomTree tree(seed, mutation);
    const std::uint32_t attempts = tree.run(budget);
    return tree.isConserved && attempts <= budget + tree.withoutContext;
}

bool isDetected(Mutation mutation)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        if (!isWithinBudget(seed, 60, mutation)) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(AttemptBudget){};

// A request passes up to 25 hops, each of which retries and hedges, and answers get lost. Without a
// budget the last service would receive an exponential number of attempts. Each hop can hand over
// only what it was granted, so the total stays within the first grant. A call without context adds
// one attempt, and no more.
TEST(AttemptBudget, AttemptsStayWithinTheBudgetInAnyTree)
{
    const bool holds = rc::check([](std::uint64_t seed) {
        const std::uint32_t budget = 1 + static_cast<std::uint32_t>(seed % 300);
        RC_ASSERT(isWithinBudget(seed, budget, Mutation::None));
    });
    CHECK(holds);
}

TEST(AttemptBudget, CheckDetectsBudgetsThatAreNotConserved)
{
    CHECK_FALSE(isDetected(Mutation::None));
    CHECK(isDetected(Mutation::LostGrantsReturn));
    CHECK(isDetected(Mutation::CalleeReturnsSpent));
    CHECK(isDetected(Mutation::SpendsAfterAnswer));
    CHECK(isDetected(Mutation::MissingContextAddsBudget));
}

TEST(AttemptBudget, KeepsOneAttemptForARetry)
{
    AttemptBudget budget{ AttemptCount(10) };
    AttemptCount granted;
    CHECK(budget.spend(AttemptCount(0), AttemptCount(100), granted));
    LONGS_EQUAL(8, granted.value());
    LONGS_EQUAL(1, budget.left().value());
    budget.returnUnspent(granted, AttemptCount(5));
    LONGS_EQUAL(6, budget.left().value());
    LONGS_EQUAL(4, budget.spent().value());
}

// A call whose subtree makes three more calls needs eight attempts for itself and a retry of the
// whole tree. With fewer, the first attempt gets what it needs and no retry is kept; with too few
// it is not started, as it could only fail half-way.
TEST(AttemptBudget, KeepsAWholeSecondAttemptIfPossible)
{
    AttemptCount granted;
    AttemptBudget ample{ AttemptCount(8) };
    CHECK(ample.spend(AttemptCount(3), AttemptCount(100), granted));
    LONGS_EQUAL(3, granted.value());
    LONGS_EQUAL(4, ample.left().value());
    CHECK(ample.spend(AttemptCount(3), AttemptCount(100), granted));

    AttemptBudget scarce{ AttemptCount(5) };
    CHECK(scarce.spend(AttemptCount(3), AttemptCount(100), granted));
    LONGS_EQUAL(3, granted.value());

    AttemptBudget tooSmall{ AttemptCount(3) };
    CHECK_FALSE(tooSmall.spend(AttemptCount(3), AttemptCount(100), granted));
    LONGS_EQUAL(3, tooSmall.left().value());
}

TEST(AttemptBudget, GrantIsReturnedOnceAndNeverExceeded)
{
    AttemptBudget budget{ AttemptCount(10) };
    AttemptCount granted;
    CHECK(budget.spend(AttemptCount(0), AttemptCount(4), granted));
    budget.returnUnspent(granted, AttemptCount(1000));
    budget.returnUnspent(granted, AttemptCount(1000));
    LONGS_EQUAL(9, budget.left().value());
    LONGS_EQUAL(1, budget.spent().value());
}
