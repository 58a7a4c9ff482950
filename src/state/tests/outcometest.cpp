#include "state/outcome.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(Outcome){};

// Guards against a promise by omission: a verdict that nobody states must not say "not run".
TEST(Outcome, IsUnknownUnlessStated)
{
    CHECK(Verdict().outcome == Outcome::Unknown);
}
