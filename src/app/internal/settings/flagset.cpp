#include "app/internal/settings/flagset.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <optional>

#include <gflags/gflags.h>

namespace ivyspar {

namespace {

const char HELP_FLAG[] = "help";
const char NEGATION[] = "no";

std::string withUnderscores(std::string name)
{
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

bool isSwitch(const std::string &name)
{
    return gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool";
}

std::string typeText(const std::string &name)
{
    const std::string type = gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type;
    if (type == "bool") {
        return "true or false";
    }
    return type == "string" ? "a string" : "a whole number of at least 0";
}

void assign(const std::string &name, const std::string &value, std::vector<std::string> &errors)
{
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        errors.push_back(FlagSet::label(name) + ": \"" + value + "\" is not " + typeText(name));
    }
}

void assignDefault(const std::string &name)
{
    const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
    gflags::SetCommandLineOption(name.c_str(), info.default_value.c_str());
}

bool isFlag(const std::string &argument)
{
    return argument.size() > 1 && argument.front() == '-';
}

/// A flag argument, split at `=`.
struct Token
{
    std::string name;
    std::optional<std::string> value;
};

Token split(const std::string &argument)
{
    const std::size_t start = argument.find_first_not_of('-');
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t equals = argument.find('=', start);
    if (equals == std::string::npos) {
        return { withUnderscores(argument.substr(start)), std::nullopt };
    }
    return { withUnderscores(argument.substr(start, equals - start)), argument.substr(equals + 1) };
}

} // namespace

std::optional<std::string> processEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

struct FlagSet::Cursor
{
    const std::vector<std::string> &arguments;
    std::size_t next = 0;
    std::vector<std::string> given;

    bool isAtEnd() const { return next == arguments.size(); }
    const std::string &take() { return arguments[next++]; }
};

FlagSet::FlagSet(std::vector<std::string> names)
    : m_names(std::move(names))
{
}

ParsedFlags FlagSet::parse(const std::vector<std::string> &arguments,
                           const EnvironmentLookup &environment) const
{
    for (const std::string &name : m_names) {
        assignDefault(name);
    }
    ParsedFlags parsed;
    Cursor cursor{ arguments, 0, {} };
    while (!cursor.isAtEnd()) {
        if (isFlag(cursor.arguments[cursor.next])) {
            parseFlag(cursor, parsed);
        } else {
            parsed.operands.push_back(cursor.take());
        }
    }
    readVariables(cursor.given, environment, parsed);
    return parsed;
}

void FlagSet::parseFlag(Cursor &cursor, ParsedFlags &parsed) const
{
    const std::string argument = cursor.take();
    Token token = split(argument);
    if (token.name == HELP_FLAG || argument == "-h") {
        parsed.isHelpWanted = true;
        return;
    }
    const std::string positive =
        token.name.rfind(NEGATION, 0) == 0 ? token.name.substr(sizeof NEGATION - 1) : "";
    if (!has(token.name) && has(positive) && isSwitch(positive) && !token.value) {
        token = { positive, "false" };
    }
    if (!has(token.name)) {
        parsed.errors.push_back("unknown flag " + argument + "; --help lists the flags");
        return;
    }
    if (!token.value && isSwitch(token.name)) {
        token.value = "true";
    }
    if (!token.value && cursor.isAtEnd()) {
        parsed.errors.push_back(label(token.name) + ": the value is missing");
        return;
    }
    if (std::count(cursor.given.begin(), cursor.given.end(), token.name) > 0) {
        parsed.errors.push_back(label(token.name) + ": given more than once");
    }
    cursor.given.push_back(token.name);
    assign(token.name, token.value ? *token.value : cursor.take(), parsed.errors);
}

void FlagSet::readVariables(const std::vector<std::string> &given,
                            const EnvironmentLookup &environment, ParsedFlags &parsed) const
{
    for (const std::string &name : m_names) {
        const bool isGiven = std::count(given.begin(), given.end(), name) > 0;
        const auto value = isGiven ? std::nullopt : environment(variableOf(name));
        if (value) {
            assign(name, *value, parsed.errors);
        }
    }
}

std::string FlagSet::help() const
{
    std::string text;
    for (const std::string &name : m_names) {
        const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        const std::string value = info.default_value.empty() ? "none" : info.default_value;
        text += "  --";
        text += name;
        text += "  (" + variableOf(name) + ", default: " + value + ")\n      ";
        text += info.description + '\n';
    }
    return text;
}

std::string FlagSet::variableOf(const std::string &flag)
{
    std::string name = "IVYSPAR_" + flag;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return name;
}

std::string FlagSet::label(const std::string &flag)
{
    return "--" + flag + " (" + variableOf(flag) + ')';
}

bool FlagSet::has(const std::string &name) const
{
    return std::find(m_names.begin(), m_names.end(), name) != m_names.end();
}

} // namespace ivyspar
