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

/// Injects several concurrent faults at random times, with fixed seeds. `ivyspar-lab histories`
/// runs more seeds.
TEST_GROUP(Histories){};

TEST(Histories, HaveNoViolationsForFixedSeeds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        STRCMP_EQUAL("", historyViolations(seed, false).c_str());
    }
}

// Counter-check: without keys, bookings run twice under the same faults, and the check detects it.
TEST(Histories, ViolateAtMostOnceWithoutKeys)
{
    STRCMP_CONTAINS("must run at most once", historyViolations(1, true).c_str());
}
