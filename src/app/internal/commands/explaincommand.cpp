#include <algorithm>
#include <cctype>
#include <cstdio>
#include <fstream>

#include "app/internal/commands/commands.h"
#include "app/internal/commands/explaintext.h"
#include "app/internal/commands/requesthistory.h"
#include "app/internal/settings/flagset.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar explain ID FILE...

Reads decision logs of several daemons and prints the course of a request: what each daemon decided,
on what, and why it ended as it did. ID is the request's id, or that of a call made for it, as sixteen
hexadecimal digits. The files may hold other text before each line, and lines of other programs.

Exits with 0 if lines of the request were found, else with 1.

Example:
  ivyspar explain d93fe0ff0f152cf4 decisions-1.log decisions-2.log
)";

bool isId(const std::string &text)
{
    constexpr std::size_t ID_SIZE = 16;
    return text.size() == ID_SIZE && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isxdigit(c) != 0;
           });
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::vector<std::string> findErrors(const std::vector<std::string> &operands)
{
    std::vector<std::string> errors;
    if (operands.size() < 2) {
        errors.emplace_back("expected an id and one file or more");
        return errors;
    }
    if (!isId(operands.front())) {
        errors.push_back('"' + operands.front() + "\" is not sixteen hexadecimal digits");
    }
    for (std::size_t i = 1; i < operands.size(); ++i) {
        if (!std::ifstream(operands[i])) {
            errors.push_back(operands[i] + " cannot be read");
        }
    }
    return errors;
}

} // namespace

int runExplainCommand(const Arguments &arguments)
{
    const FlagSet noFlags({});
    ParsedFlags parsed = noFlags.parse(arguments, processEnvironment);
    if (parsed.isHelpWanted) {
        std::fputs(HELP, stdout);
        return 0;
    }
    const std::vector<std::string> errors =
        parsed.errors.empty() ? findErrors(parsed.operands) : parsed.errors;
    if (!errors.empty()) {
        return failUsage("explain", errors);
    }
    const std::vector<std::string> files(parsed.operands.begin() + 1, parsed.operands.end());
    RequestHistory history(lowered(parsed.operands.front()));
    for (const std::string &file : files) {
        std::ifstream log(file);
        history.findRoot(log);
    }
    for (const std::string &file : files) {
        std::ifstream log(file);
        history.collect(file, log);
    }
    std::fputs(toExplanation(history).c_str(), stdout);
    return history.events().empty() ? EXIT_RUNTIME : 0;
}

} // namespace ivyspar
