#include "coordination/admission/processorguard.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const Priority HIGH_PRIORITY(100);
const Priority LOW_PRIORITY(98);

} // namespace

TEST_GROUP(ProcessorGuard)
{
    ProcessorGuard m_guard{ true };
};

TEST(ProcessorGuard, AdmitsAllRequestsAtALowLag)
{
    CHECK(m_guard.admits(0ms, LOW_PRIORITY, HIGH_PRIORITY));
    CHECK(m_guard.admits(50ms, LOW_PRIORITY, HIGH_PRIORITY));
}

// During a burst callers of low-priority rules learn immediately when to retry. If all requests
// were admitted, each would be answered after its caller has left.
TEST(ProcessorGuard, AdmitsOnlyTheHighestPriorityAtAHighLag)
{
    CHECK_FALSE(m_guard.admits(150ms, LOW_PRIORITY, HIGH_PRIORITY));
    CHECK(m_guard.admits(150ms, HIGH_PRIORITY, HIGH_PRIORITY));
    CHECK_FALSE(m_guard.admits(400ms, HIGH_PRIORITY, HIGH_PRIORITY));
}

TEST(ProcessorGuard, AdmitsAllRequestsIfDisabled)
{
    CHECK(ProcessorGuard(false).admits(5s, LOW_PRIORITY, HIGH_PRIORITY));
}
