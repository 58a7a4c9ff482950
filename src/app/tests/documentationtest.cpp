#include <fstream>
#include <set>
#include <sstream>

#include "app/internal/settings/daemonsettings.h"
#include "app/internal/settings/publishsettings.h"
#include "state/metricsfactory.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

std::string readPage(const std::string &name)
{
    std::ostringstream text;
    text << std::ifstream(IVYSPAR_SOURCE_DIR + ("/docs/" + name)).rdbuf();
    return text.str();
}

/// The words that follow `prefix` at the beginning of lines, each with `start` prepended.
std::set<std::string> wordsAfter(const std::string &text, const std::string &prefix,
                                 const std::string &start)
{
    std::set<std::string> words;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(prefix, 0) == 0) {
            words.insert(
                start + line.substr(prefix.size(), line.find(' ', prefix.size()) - prefix.size()));
        }
    }
    return words;
}

void checkNames(const std::string &page, const std::set<std::string> &names)
{
    CHECK_FALSE(names.empty());
    for (const std::string &name : names) {
        STRCMP_CONTAINS(('`' + name + '`').c_str(), page.c_str());
    }
}

} // namespace

TEST_GROUP(Documentation){};

TEST(Documentation, ExplainsEveryFlag)
{
    const std::string help = daemonFlags().help() + publishFlags().help();
    checkNames(readPage("CONFIGURATION.md"), wordsAfter(help, "  --", "--"));
}

TEST(Documentation, ExplainsEveryMetric)
{
    checkNames(readPage("INTERFACES.md"), wordsAfter(makeMetrics()->text(), "# HELP ", ""));
}

TEST(Documentation, ExplainsEveryReason)
{
    std::set<std::string> reasons;
    for (int i = 1; i <= static_cast<int>(Reason::Last); ++i) {
        reasons.insert(toText(static_cast<Reason>(i)));
    }
    checkNames(readPage("INTERFACES.md"), reasons);
}
