#include "protocol/internal/tomlconfigurationreader.h"

#include <algorithm>

#include "protocol/configurationreaderfactory.h"
#include "protocol/internal/inventoryreader.h"
#include "protocol/internal/rulesreader.h"

namespace ivyspar {

namespace {

/// A change has to fit into one record of the platform's log.
constexpr std::size_t MAX_FILE_BYTES = 256 * 1024;

std::optional<toml::table> parse(const std::string &text, FileProblems &problems)
{
    if (text.size() > MAX_FILE_BYTES) {
        problems.add(0, "", "the file has " + std::to_string(text.size()) + " bytes",
                     "at most " + std::to_string(MAX_FILE_BYTES));
        return std::nullopt;
    }
    toml::parse_result result = toml::parse(text);
    if (!result) {
        const toml::parse_error &error = result.error();
        problems.add(error.source().begin.line, "", std::string(error.description()),
                     "valid TOML in UTF-8");
        return std::nullopt;
    }
    return std::move(result).table();
}

void sortByLine(std::vector<FileProblem> &problems)
{
    std::stable_sort(problems.begin(), problems.end(),
                     [](const FileProblem &a, const FileProblem &b) { return a.line < b.line; });
}

std::vector<FileProblem> joined(FileProblems first, FileProblems second)
{
    sortByLine(first.problems);
    sortByLine(second.problems);
    first.problems.insert(first.problems.end(), second.problems.begin(), second.problems.end());
    return std::move(first.problems);
}

} // namespace

ReadConfiguration TomlConfigurationReader::read(const ConfigurationText &text,
                                                const std::string &inventoryFile,
                                                const std::string &rulesFile,
                                                ConfigurationVersion version) const
{
    boost::intrusive_ptr<Configuration> configuration(new Configuration);
    configuration->version = version;

    FileProblems inventoryProblems{ inventoryFile, {} };
    InventoryReader inventoryReader(inventoryProblems);
    const auto inventory = parse(text.inventory, inventoryProblems);
    if (inventory) {
        configuration->inventory = inventoryReader.read(*inventory);
    }

    FileProblems rulesProblems{ rulesFile, {} };
    RulesReader rulesReader(rulesProblems, inventory ? &inventoryReader.services() : nullptr);
    if (const auto rules = parse(text.rules, rulesProblems)) {
        configuration->rules = rulesReader.read(*rules);
    }

    ReadConfiguration result;
    result.problems = joined(std::move(inventoryProblems), std::move(rulesProblems));
    if (result.problems.empty()) {
        result.configuration = std::move(configuration);
    }
    return result;
}

std::unique_ptr<IConfigurationReader> makeConfigurationReader()
{
    return std::make_unique<TomlConfigurationReader>();
}

} // namespace ivyspar
