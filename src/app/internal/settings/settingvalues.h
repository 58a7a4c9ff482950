#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/endpoint.h"
#include "state/time.h"

namespace ivyspar {

/// Turns the text of flags into values and collects an error line for each that is wrong.
class SettingValues
{
public:
    explicit SettingValues(std::vector<std::string> &errors);

    /// One to 64 letters, digits, `.`, `_` and `-`.
    std::string name(const std::string &flag, const std::string &text);
    Endpoint listenEndpoint(const std::string &flag, const std::string &text);
    /// An endpoint to connect to: port 0 and addresses that stand for all are wrong.
    Endpoint remoteEndpoint(const std::string &flag, const std::string &text);
    /// Separated by commas, each only once; empty for none.
    std::vector<Endpoint> remoteEndpoints(const std::string &flag, const std::string &text);
    Duration duration(const std::string &flag, const std::string &text, Duration minimum,
                      Duration maximum);
    std::size_t count(const std::string &flag, std::uint64_t value, std::uint64_t minimum,
                      std::uint64_t maximum);

    void addError(const std::string &flag, const std::string &problem);

private:
    std::vector<std::string> &m_errors;
};

/// The parts between commas; none for an empty text.
std::vector<std::string> splitList(const std::string &text);
bool isLoopback(const Endpoint &endpoint);
/// The address stands for all addresses of the host.
bool isWildcard(const Endpoint &endpoint);

} // namespace ivyspar
