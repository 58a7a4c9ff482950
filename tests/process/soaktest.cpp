#include "platform/standins/soakrun.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar::soak;

/// Real daemons of the users' platform beside servers that misbehave, while daemons are stopped,
/// killed and restarted. `ivyspar-platform-soak` runs more seeds.
TEST_GROUP(Soak)
{
    SoakRunOptions m_options;

    void checkSeed(std::uint64_t seed)
    {
        m_options.binary = IVYSPAR_PLATFORM_BINARY;
        m_options.seed = seed;
        const SoakRunResult result = runSoak(m_options);
        const std::string first = result.violations.empty() ? "" : result.violations.front();
        STRCMP_EQUAL("", first.c_str());
        CHECK(result.counts.served > result.counts.requests / 2);
    }
};

// Guards against requests that run twice, or run although their callers were told that they had
// not.
TEST(Soak, PromisesHoldForFixedSeeds)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        checkSeed(seed);
    }
}

// Guards against late copies of rejections that are taken for responses to repeats of a request.
TEST(Soak, LateCopiesOfRejectionsHarmNoRequest)
{
    m_options.kinds = { "service" };
    checkSeed(4);
}
