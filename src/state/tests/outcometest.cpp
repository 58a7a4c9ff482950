#include "state/outcome.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(Outcome){};

// Guards against requests that are reported as not run because nobody set the outcome.
TEST(Outcome, IsUnknownUnlessStated)
{
    CHECK(Verdict().outcome == Outcome::Unknown);
}
