#include "coordination/memory/ibodybudget.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

/// Half of it is for each kind.
constexpr std::size_t BUDGET = 16 * 1024 * 1024;
constexpr std::size_t SHARE = BUDGET / 2;
constexpr std::size_t SMALL = 64 * 1024;

} // namespace

TEST_GROUP(BodyBudget)
{
    BodyBudgetPtr budget = makeBodyBudget(BUDGET);
    std::vector<int> yielded;

    BodyChargePtr openResponse(int number)
    {
        return budget->open(MessageKind::Response, [this, number] { yielded.push_back(number); });
    }
    std::size_t heldBytes(MessageKind kind) const
    {
        return budget->usage(kind).bytes;
    }
};

TEST(BodyBudget, CountsUntilTheLastCopyIsReleased)
{
    HttpBody body;
    {
        const BodyChargePtr charge = budget->open(MessageKind::Request, {});
        CHECK(charge->resize(5));
        charge->complete();
        body = HttpBody("12345", charge);
    }
    HttpBody copy = body;
    body = HttpBody();
    LONGS_EQUAL(5, heldBytes(MessageKind::Request));
    copy = HttpBody();
    LONGS_EQUAL(0, heldBytes(MessageKind::Request));
}

// Guards against uploads that use up the memory of a daemon.
TEST(BodyBudget, RefusesARequestBeyondTheLimit)
{
    const BodyChargePtr first = budget->open(MessageKind::Request, {});
    const BodyChargePtr second = budget->open(MessageKind::Request, {});
    CHECK(first->resize(SHARE - 2 * SMALL));
    CHECK_FALSE(second->resize(3 * SMALL));
    LONGS_EQUAL(SHARE - 2 * SMALL, heldBytes(MessageKind::Request));
    LONGS_EQUAL(1, budget->usage(MessageKind::Request).dropped);
}

// Guards against requests that leave no room for the responses to them.
TEST(BodyBudget, RequestsDoNotUseTheShareOfResponses)
{
    const BodyChargePtr request = budget->open(MessageKind::Request, {});
    CHECK(request->resize(SHARE));
    CHECK(openResponse(1)->resize(SHARE));
}

// Guards against large messages that keep small ones out.
TEST(BodyBudget, SmallMessagesHaveAReserve)
{
    const BodyChargePtr large = budget->open(MessageKind::Request, {});
    CHECK(large->resize(SHARE));
    const BodyChargePtr small = budget->open(MessageKind::Request, {});
    CHECK(small->resize(SMALL));
    CHECK_FALSE(small->resize(SMALL + 1));
}

// Guards against a response without end that costs other responses their room.
TEST(BodyBudget, TheLargestArrivingResponseYields)
{
    const BodyChargePtr endless = openResponse(1);
    const BodyChargePtr sound = openResponse(2);
    CHECK(sound->resize(SHARE / 4));
    CHECK(endless->resize(3 * (SHARE / 4)));
    CHECK(sound->resize(SHARE / 4 + 1));
    LONGS_EQUAL(1, yielded.size());
    LONGS_EQUAL(1, yielded.front());
    CHECK_FALSE(endless->resize(1));
    LONGS_EQUAL(SHARE / 4 + 1, heldBytes(MessageKind::Response));
}

TEST(BodyBudget, TheLargestResponseIsRefusedWhenItGrows)
{
    const BodyChargePtr endless = openResponse(1);
    const BodyChargePtr sound = openResponse(2);
    CHECK(sound->resize(SHARE / 4));
    CHECK(endless->resize(3 * (SHARE / 4)));
    CHECK_FALSE(endless->resize(3 * (SHARE / 4) + 1));
    CHECK(yielded.empty());
}

// Guards against responses that are ready and would be dropped for others.
TEST(BodyBudget, ACompleteResponseDoesNotYield)
{
    const BodyChargePtr ready = openResponse(1);
    CHECK(ready->resize(SHARE));
    ready->complete();
    CHECK_FALSE(openResponse(2)->resize(SMALL + SHARE / 8));
    CHECK(yielded.empty());
}

TEST(BodyBudget, AMessageThatHasArrivedIsCountedBeyondTheLimit)
{
    const BodyChargePtr response = budget->adopt(MessageKind::Response, 2 * SHARE);
    LONGS_EQUAL(2 * SHARE, heldBytes(MessageKind::Response));
    CHECK_FALSE(openResponse(1)->resize(1));
}

TEST(BodyBudget, ChargesOutliveTheirOwner)
{
    const BodyChargePtr charge = openResponse(1);
    CHECK(charge->resize(10));
    budget.reset();
    CHECK(charge->resize(20));
}
