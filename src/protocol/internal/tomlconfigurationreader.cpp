#include "protocol/internal/tomlconfigurationreader.h"

#include <algorithm>
#include <utility>

#include "protocol/configurationreaderfactory.h"
#include "protocol/internal/inventoryreader.h"
#include "protocol/internal/rulesreader.h"

namespace ivyspar {

namespace {

/// Inventory and rules together must fit into one record of the platform's log.
constexpr std::size_t MAX_FILE_BYTES = 256 * 1024;

bool isAscii(char c)
{
    return static_cast<unsigned char>(c) < 0x80;
}

/// Replaces characters outside ASCII, and reports those outside of comments as problems: toml++ 3.3
/// reaches `__builtin_unreachable` on most of them in place of white space, which is undefined
/// behaviour, and no valid value contains any. A `#` within quotes counts as the start of a comment
/// here, but no valid value contains one.
std::string toAscii(std::string text, FileProblems &problems)
{
    std::uint32_t line = 1;
    bool isComment = false;
    bool isReported = false;
    for (char &c : text) {
        if (c == '\n') {
            ++line;
            isComment = false;
            isReported = false;
        }
        isComment = isComment || c == '#';
        if (isAscii(c)) {
            continue;
        }
        c = '?';
        if (!isComment && !std::exchange(isReported, true)) {
            problems.add(line, "", "a character outside ASCII", "ASCII, except in comments");
        }
    }
    return text;
}

std::optional<toml::table> parse(const std::string &file, FileProblems &problems)
{
    if (file.size() > MAX_FILE_BYTES) {
        problems.add(0, "", "the file has " + std::to_string(file.size()) + " bytes",
                     "at most " + std::to_string(MAX_FILE_BYTES));
        return std::nullopt;
    }
    const std::string text = toAscii(file, problems);
    if (!problems.problems.empty()) {
        return std::nullopt;
    }
    toml::parse_result result = toml::parse(text);
    if (!result) {
        const toml::parse_error &error = result.error();
        problems.add(error.source().begin.line, "", std::string(error.description()), "valid TOML");
        return std::nullopt;
    }
    return std::move(result).table();
}

void sortByLine(std::vector<FileProblem> &problems)
{
    std::stable_sort(problems.begin(), problems.end(),
                     [](const FileProblem &a, const FileProblem &b) { return a.line < b.line; });
}

std::vector<FileProblem> mergeProblems(FileProblems first, FileProblems second)
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
        configuration->priorities = PriorityOrder(configuration->rules);
        // A key of two accounts has already been reported as a problem.
        configuration->keys =
            KeyIndex::make(configuration->rules.accounts, rulesReader.salt()).value_or(KeyIndex());
    }

    ReadConfiguration result;
    result.problems = mergeProblems(std::move(inventoryProblems), std::move(rulesProblems));
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
