#include "platform/standins/soakrun.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar::soak;

/// Real daemons of the users' platform beside servers that misbehave, while daemons are stopped,
/// killed and restarted. `ivyspar-platform-soak` runs more seeds.
TEST_GROUP(Soak){ static void checkSeed(std::uint64_t seed){ SoakRunOptions options;
options.binary = IVYSPAR_PLATFORM_BINARY;
options.seed = seed;
const SoakRunResult result = runSoak(options);
const std::string first = result.violations.empty() ? "" : result.violations.front();
STRCMP_EQUAL("", first.c_str());
CHECK(result.counts.served > result.counts.requests / 2);
}
}
;

// Guards against requests that run twice, or run although their callers were told that they had
// not.
TEST(Soak, PromisesHoldForFixedSeeds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        checkSeed(seed);
    }
}
