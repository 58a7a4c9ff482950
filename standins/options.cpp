#include "standins/options.h"

#include <cstdio>
#include <cstdlib>

namespace ivyspar::lab {

namespace {

constexpr int EXIT_USAGE = 2;

[[noreturn]] void failUsage(const std::string &text)
{
    std::fprintf(stderr, "ivyspar-lab: %s\n", text.c_str());
    std::exit(EXIT_USAGE);
}

} // namespace

Options::Options(int argc, char **argv)
{
    for (int i = 0; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument.rfind("--", 0) != 0) {
            failUsage("unexpected argument " + argument);
        }
        const auto equals = argument.find('=');
        if (equals != std::string::npos) {
            m_values.emplace(argument.substr(2, equals - 2), argument.substr(equals + 1));
        } else if (i + 1 < argc && std::string(argv[i + 1]).rfind("--", 0) != 0) {
            m_values.emplace(argument.substr(2), argv[++i]);
        } else {
            m_values.emplace(argument.substr(2), "true");
        }
    }
}

bool Options::has(const std::string &name) const
{
    return m_values.count(name) > 0;
}

std::string Options::text(const std::string &name, const std::string &fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

std::vector<std::string> Options::texts(const std::string &name) const
{
    std::vector<std::string> values;
    const auto [first, last] = m_values.equal_range(name);
    for (auto it = first; it != last; ++it) {
        values.push_back(it->second);
    }
    return values;
}

double Options::number(const std::string &name, double fallback) const
{
    const std::string value = text(name, "");
    if (value.empty()) {
        return fallback;
    }
    char *end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (*end != '\0') {
        failUsage("--" + name + ": not a number: " + value);
    }
    return number;
}

Endpoint Options::endpoint(const std::string &name, const std::string &fallback) const
{
    const auto endpoint = Endpoint::parse(text(name, fallback));
    if (!endpoint) {
        failUsage("--" + name + ": " + endpoint.error().text);
    }
    return *endpoint;
}

} // namespace ivyspar::lab
