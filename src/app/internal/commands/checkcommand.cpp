#include <cstdio>

#include "app/internal/commands/commands.h"
#include "app/internal/settings/configurationfiles.h"
#include "app/internal/settings/configurationnotes.h"
#include "app/internal/settings/flagset.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar check INVENTORY RULES

Validates an inventory and its rules (TOML, docs/CONFIGURATION.md) and prints every problem with
file, line, key and the expected value. Exits with 0 and a summary if there is none, else with 2.

Example:
  ivyspar check examples/tallowood/inventory.toml examples/tallowood/rules.toml
)";

void printSummary(const Configuration &configuration)
{
    const Inventory &inventory = configuration.inventory;
    const Rules &rules = configuration.rules;
    std::printf("%s: %zu failure domains, %zu services, %zu servers, %zu classes, %zu rules: no "
                "problems\n",
                inventory.deployment.c_str(), inventory.domains.size(), inventory.services.size(),
                inventory.servers.size(), rules.classes.size(), rules.rules.size());
}

} // namespace

int runCheckCommand(const Arguments &arguments)
{
    const FlagSet noFlags({});
    ParsedFlags parsed = noFlags.parse(arguments, processEnvironment);
    if (parsed.isHelpWanted) {
        std::fputs(HELP, stdout);
        return 0;
    }
    if (parsed.operands.size() != 2) {
        parsed.errors.emplace_back("expected two files: INVENTORY RULES");
    }
    if (!parsed.errors.empty()) {
        return reportUsageErrors("check", parsed.errors);
    }
    const ConfigurationFiles files = loadConfiguration(parsed.operands[0], parsed.operands[1]);
    if (!files.errors.empty()) {
        return reportUsageErrors("check", files.errors);
    }
    printSummary(*files.configuration);
    for (const std::string &note : notesOf(*files.configuration)) {
        std::printf("note: %s\n", note.c_str());
    }
    return 0;
}

} // namespace ivyspar
