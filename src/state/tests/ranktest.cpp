#include "state/rank.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(Rank){};

TEST(Rank, PriorityOutranksDepth)
{
    const Rank payment = makeRank(Priority(90), Depth(0), RootId(1));
    const Rank browsing = makeRank(Priority(10), Depth(25), RootId(2));
    CHECK(browsing < payment);
}

TEST(Rank, DeeperCallsOfOneClassRankHigher)
{
    const Rank shallow = makeRank(Priority(50), Depth(1), RootId(1));
    const Rank deep = makeRank(Priority(50), Depth(2), RootId(2));
    CHECK(shallow < deep);
}

TEST(Rank, RequestsKeepTheirOrderAtEveryDepth)
{
    const bool isFirstLower =
        makeRank(Priority(50), Depth(0), RootId(7)) < makeRank(Priority(50), Depth(0), RootId(8));
    for (std::uint8_t depth = 1; depth < 25; ++depth) {
        const Rank a = makeRank(Priority(50), Depth(depth), RootId(7));
        const Rank b = makeRank(Priority(50), Depth(depth), RootId(8));
        CHECK_EQUAL(isFirstLower, a < b);
    }
}

TEST(Rank, PriorityIsRecoveredFromRank)
{
    const Rank rank = makeRank(Priority(42), Depth(3), RootId(99));
    CHECK(priorityOf(rank) == Priority(42));
    CHECK(lowestRankOf(Priority(42)) <= rank);
    CHECK(depthOf(rank) == Depth(3));
    CHECK_FALSE(isCommitted(rank));
    const Rank committed = makeCommittedRank(Priority(42), Depth(3), RootId(99));
    CHECK(priorityOf(committed) == Priority(42));
    CHECK(depthOf(committed) == Depth(3));
    CHECK(isCommitted(committed));
}
