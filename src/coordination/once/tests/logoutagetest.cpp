#include "coordination/once/oncefactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;

TEST_GROUP(OnceLogOutage)
{
    TimePoint now{ milliseconds(1000) };
    std::unique_ptr<IOnceCoordinator> coordinator =
        makeOnceCoordinator(now, DaemonId("d1"), Incarnation(1), 7);

    OnceActions request(std::uint64_t call)
    {
        OnceRequest request;
        request.call = CallId(call);
        request.rule = RuleName("payment");
        request.key = IdempotencyKey("key-" + std::to_string(call));
        request.deadline = now + milliseconds(5000);
        return coordinator->request(now, request);
    }
};

// Guards against a keyed request that ends with "unknown" at its deadline although it never ran,
// because the daemon started while the log was unavailable. It must get "not run" as soon as the
// first read fails.
TEST(OnceLogOutage, FirstRequestIsRefusedWhenTheFirstReadFails)
{
    const OnceActions first = request(1);
    CHECK(first.read.has_value());
    CHECK(first.replies.empty());
    now += milliseconds(2);
    const OnceActions failed = coordinator->readFailed(now);
    LONGS_EQUAL(1, failed.replies.size());
    CHECK(failed.replies.front().verdict.outcome == Outcome::NotRun);
    CHECK(failed.replies.front().verdict.reason == Reason::LogUnavailable);
    CHECK_FALSE(failed.append.has_value());
}
