#include "coordination/admission/processorguard.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const Priority IMPORTANT(100);
const Priority MINOR(98);

} // namespace

TEST_GROUP(ProcessorGuard)
{
    ProcessorGuard m_guard{ true };
};

TEST(ProcessorGuard, ADaemonThatKeepsUpTakesAll)
{
    CHECK(m_guard.takes(0ms, MINOR, IMPORTANT));
    CHECK(m_guard.takes(50ms, MINOR, IMPORTANT));
}

// A burst brings more than the daemon's part of a processor can serve. Callers of minor rules hear
// at once when to come back; were all taken, each would be answered when its caller has left.
TEST(ProcessorGuard, ADaemonThatIsBehindTakesTheImportant)
{
    CHECK_FALSE(m_guard.takes(150ms, MINOR, IMPORTANT));
    CHECK(m_guard.takes(150ms, IMPORTANT, IMPORTANT));
    CHECK_FALSE(m_guard.takes(400ms, IMPORTANT, IMPORTANT));
}

TEST(ProcessorGuard, SwitchedOffItTakesAll)
{
    CHECK(ProcessorGuard(false).takes(5s, MINOR, IMPORTANT));
}
