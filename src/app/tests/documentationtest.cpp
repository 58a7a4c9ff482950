#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "app/internal/daemonsettings.h"
#include "app/internal/publishsettings.h"
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

std::set<std::string> allMatches(const std::string &text, const char *pattern)
{
    const std::regex regex(pattern);
    const std::sregex_token_iterator first(text.begin(), text.end(), regex, 1);
    return { first, std::sregex_token_iterator() };
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
    checkNames(readPage("CONFIGURATION.md"), allMatches(help, "(--[a-z_]+)  \\("));
}

TEST(Documentation, ExplainsEveryMetric)
{
    checkNames(readPage("INTERFACES.md"), allMatches(makeMetrics()->text(), "# HELP ([a-z_]+) "));
}

TEST(Documentation, ExplainsEveryReason)
{
    std::set<std::string> reasons;
    for (int i = 1; i <= static_cast<int>(Reason::ShuttingDown); ++i) {
        reasons.insert(toText(static_cast<Reason>(i)));
    }
    checkNames(readPage("INTERFACES.md"), reasons);
}
