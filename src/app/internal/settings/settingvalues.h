#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/endpoint.h"
#include "state/time.h"

namespace ivyspar {

/// Parses the text of flags and collects an error line for each invalid value.
class SettingValues
{
public:
    explicit SettingValues(std::vector<std::string> &errors);

    /// 1 to 64 letters, digits, `.`, `_` and `-`.
    std::string name(const std::string &flag, const std::string &text);
    Endpoint listenEndpoint(const std::string &flag, const std::string &text);
    /// An endpoint to connect to: port 0 and wildcard addresses are invalid.
    Endpoint remoteEndpoint(const std::string &flag, const std::string &text);
    /// A comma-separated list without duplicates, possibly empty.
    std::vector<Endpoint> remoteEndpoints(const std::string &flag, const std::string &text);
    Duration duration(const std::string &flag, const std::string &text, Duration minimum,
                      Duration maximum);
    std::size_t count(const std::string &flag, std::uint64_t value, std::uint64_t minimum,
                      std::uint64_t maximum);

    void addError(const std::string &flag, const std::string &problem);

private:
    std::vector<std::string> &m_errors;
};

/// Splits at commas; an empty text has no parts.
std::vector<std::string> splitList(const std::string &text);
bool isLoopback(const Endpoint &endpoint);
/// Whether the address stands for all addresses of the host.
bool isWildcard(const Endpoint &endpoint);

} // namespace ivyspar
