#include "standins/history/historyrun.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar::lab;

namespace {

std::string historyViolations(std::uint64_t seed, bool isWithoutKeys)
{
    HistoryRunOptions options;
    options.binary = IVYSPAR_BINARY;
    options.labBinary = IVYSPAR_LAB_BINARY;
    options.seed = seed;
    options.isWithoutKeys = isWithoutKeys;
    return join(runHistory(options).violations);
}

} // namespace

/// Faults at random times, several at once, from fixed seeds. `ivyspar-lab histories` runs more.
TEST_GROUP(Histories){};

TEST(Histories, HaveNoViolationsForFixedSeeds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        STRCMP_EQUAL("", historyViolations(seed, false).c_str());
    }
}

// Counter-check: without their keys bookings run twice under the same faults, and the check sees
// it.
TEST(Histories, ViolateAtMostOnceWithoutKeys)
{
    STRCMP_CONTAINS("must run at most once", historyViolations(1, true).c_str());
}
