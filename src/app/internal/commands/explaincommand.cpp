#include <algorithm>
#include <cctype>
#include <cstdio>
#include <fstream>

#include "app/internal/commands/commands.h"
#include "app/internal/commands/explaintext.h"
#include "app/internal/commands/failuresummary.h"
#include "app/internal/commands/requesthistory.h"
#include "app/internal/settings/flags.h"
#include "app/internal/settings/flagset.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar explain ID FILE...
       ivyspar explain --summary FILE...

Reads decision logs of several daemons and prints the course of a request: the decisions of each
daemon, their inputs, and the cause of the outcome. ID is the id of the request, or of a call made
for it, as sixteen hexadecimal digits. Lines may have a prefix, and lines of other programs are
ignored.

With --summary, prints failed requests grouped by cause, with the worst second and the id of an
example for each.

Exits with 0 if lines of the request, or ends of requests, were found, else with 1.

Examples:
  ivyspar explain --summary decisions-1.log decisions-2.log
  ivyspar explain d93fe0ff0f152cf4 decisions-1.log decisions-2.log

Flags:
)";

const FlagSet &explainFlags()
{
    static const FlagSet FLAGS({ "summary" });
    return FLAGS;
}

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

void findUnreadable(const std::vector<std::string> &files, std::vector<std::string> &errors)
{
    for (const std::string &file : files) {
        if (!std::ifstream(file)) {
            errors.push_back(file + " cannot be read");
        }
    }
}

std::vector<std::string> filesOf(const std::vector<std::string> &operands)
{
    const std::size_t first = FLAGS_summary ? 0 : 1;
    return operands.size() > first ? std::vector<std::string>(
               operands.begin() + static_cast<std::ptrdiff_t>(first), operands.end())
                                   : std::vector<std::string>();
}

std::vector<std::string> findErrors(const std::vector<std::string> &operands)
{
    std::vector<std::string> errors;
    const std::vector<std::string> files = filesOf(operands);
    if (files.empty()) {
        errors.emplace_back(FLAGS_summary ? "expected one file or more"
                                          : "expected an id and one file or more");
        return errors;
    }
    if (!FLAGS_summary && !isId(operands.front())) {
        errors.push_back('"' + operands.front() + "\" is not sixteen hexadecimal digits");
    }
    findUnreadable(files, errors);
    return errors;
}

int explainAll(const std::vector<std::string> &files)
{
    FailureSummary summary;
    for (const std::string &file : files) {
        std::ifstream log(file);
        summary.findFailed(log);
    }
    for (const std::string &file : files) {
        std::ifstream log(file);
        summary.collect(log);
    }
    std::fputs(toSummary(summary).c_str(), stdout);
    return summary.seconds().empty() ? EXIT_RUNTIME_ERROR : 0;
}

int explainOne(const std::string &id, const std::vector<std::string> &files)
{
    RequestHistory history(lowered(id));
    for (const std::string &file : files) {
        std::ifstream log(file);
        history.findRoot(log);
    }
    for (const std::string &file : files) {
        std::ifstream log(file);
        history.collect(file, log);
    }
    std::fputs(toExplanation(history).c_str(), stdout);
    return history.events().empty() ? EXIT_RUNTIME_ERROR : 0;
}

} // namespace

int runExplainCommand(const Arguments &arguments)
{
    const ParsedFlags parsed = explainFlags().parse(arguments, processEnvironment);
    if (parsed.isHelpWanted) {
        std::printf("%s%s", HELP, explainFlags().help().c_str());
        return 0;
    }
    const std::vector<std::string> errors =
        parsed.errors.empty() ? findErrors(parsed.operands) : parsed.errors;
    if (!errors.empty()) {
        return reportUsageErrors("explain", errors);
    }
    const std::vector<std::string> files = filesOf(parsed.operands);
    return FLAGS_summary ? explainAll(files) : explainOne(parsed.operands.front(), files);
}

} // namespace ivyspar
