#include <algorithm>
#include <fstream>
#include <sstream>

#include "protocol/configurationreaderfactory.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

constexpr int RUNS = 400;

std::string readExample(const std::string &file)
{
    std::ostringstream text;
    text << std::ifstream(IVYSPAR_SOURCE_DIR + ("/examples/bottega/" + file)).rdbuf();
    return text.str();
}

std::string randomBytes(IRandom &random)
{
    std::string text(random.below(200), '\0');
    std::generate(text.begin(), text.end(), [&] { return static_cast<char>(random.next()); });
    return text;
}

/// Replaces, removes or duplicates parts of the text at random, up to four times.
std::string mutated(std::string text, IRandom &random)
{
    for (std::uint64_t i = random.below(4) + 1; i > 0 && !text.empty(); --i) {
        const std::size_t at = random.below(text.size());
        const std::size_t length = random.below(20);
        switch (random.below(3)) {
        case 0:
            text[at] = static_cast<char>(random.next());
            break;
        case 1:
            text.erase(at, length);
            break;
        default:
            text.insert(at, text.substr(random.below(text.size()), length));
        }
    }
    return text;
}

void checkReadOrReported(const ConfigurationText &text)
{
    const ReadConfiguration result =
        makeConfigurationReader()->read(text, "i", "r", ConfigurationVersion(1));
    CHECK_EQUAL(result.problems.empty(), result.configuration != nullptr);
}

} // namespace

TEST_GROUP(ConfigurationMutation){};

TEST(ConfigurationMutation, RandomBytesAreReadOrReported)
{
    SeededRandom random(1);
    for (int i = 0; i < RUNS; ++i) {
        checkReadOrReported({ randomBytes(random), randomBytes(random) });
    }
}

TEST(ConfigurationMutation, MutatedExamplesAreReadOrReported)
{
    const ConfigurationText example{ readExample("inventory.toml"), readExample("rules.toml") };
    CHECK_FALSE(example.inventory.empty());
    SeededRandom random(2);
    for (int i = 0; i < RUNS; ++i) {
        checkReadOrReported({ mutated(example.inventory, random), mutated(example.rules, random) });
    }
}
