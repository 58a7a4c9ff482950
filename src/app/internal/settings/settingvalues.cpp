#include "app/internal/settings/settingvalues.h"

#include <algorithm>
#include <cctype>
#include <sstream>

#include "app/internal/settings/flagset.h"
#include "state/durationtext.h"

namespace ivyspar {

namespace {

constexpr std::size_t MAX_NAME = 64;

bool isNameCharacter(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
}

} // namespace

SettingValues::SettingValues(std::vector<std::string> &errors)
    : m_errors(errors)
{
}

std::string SettingValues::name(const std::string &flag, const std::string &text)
{
    if (text.empty()) {
        addError(flag, "must be set");
    } else if (text.size() > MAX_NAME || !std::all_of(text.begin(), text.end(), isNameCharacter)) {
        addError(flag,
                 '"' + text + "\" is not a name of at most 64 letters, digits, '.', '_' and '-'");
    }
    return text;
}

Endpoint SettingValues::listenEndpoint(const std::string &flag, const std::string &text)
{
    const RetVal<Endpoint> endpoint = Endpoint::parse(text);
    if (!endpoint) {
        addError(flag, endpoint.error().text);
        return {};
    }
    return *endpoint;
}

Endpoint SettingValues::remoteEndpoint(const std::string &flag, const std::string &text)
{
    Endpoint endpoint = listenEndpoint(flag, text);
    if (endpoint.address.empty()) {
        return endpoint;
    }
    if (endpoint.port == 0) {
        addError(flag, "port 0 in \"" + text + "\" cannot be connected to");
    }
    if (isWildcard(endpoint)) {
        addError(flag, '"' + text + "\" stands for all addresses and cannot be connected to");
    }
    return endpoint;
}

std::vector<Endpoint> SettingValues::remoteEndpoints(const std::string &flag,
                                                     const std::string &text)
{
    std::vector<Endpoint> endpoints;
    for (const std::string &part : splitList(text)) {
        const Endpoint endpoint = remoteEndpoint(flag, part);
        if (std::count(endpoints.begin(), endpoints.end(), endpoint) > 0
            && !endpoint.address.empty()) {
            addError(flag, '"' + part + "\" is listed more than once");
        }
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

Duration SettingValues::duration(const std::string &flag, const std::string &text, Duration minimum,
                                 Duration maximum)
{
    const RetVal<Duration> duration = parseDuration(text);
    if (!duration) {
        addError(flag, duration.error().text);
        return Duration::zero();
    }
    if (*duration < minimum || *duration > maximum) {
        addError(flag,
                 '"' + text + "\" is not within " + toText(minimum) + " to " + toText(maximum));
    }
    return *duration;
}

std::size_t SettingValues::count(const std::string &flag, std::uint64_t value,
                                 std::uint64_t minimum, std::uint64_t maximum)
{
    if (value < minimum || value > maximum) {
        addError(flag,
                 std::to_string(value) + " is not between " + std::to_string(minimum) + " and "
                     + std::to_string(maximum));
    }
    return value;
}

void SettingValues::addError(const std::string &flag, const std::string &problem)
{
    m_errors.push_back(FlagSet::label(flag) + ": " + problem);
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    if (!text.empty() && text.back() == ',') {
        parts.emplace_back();
    }
    return parts;
}

bool isLoopback(const Endpoint &endpoint)
{
    return endpoint.address.rfind("127.", 0) == 0 || endpoint.address == "::1";
}

bool isWildcard(const Endpoint &endpoint)
{
    return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

} // namespace ivyspar
