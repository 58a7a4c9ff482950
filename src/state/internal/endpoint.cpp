#include "state/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace ivyspar {

namespace {

bool isIpAddress(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1
        || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

} // namespace

std::string Endpoint::text() const
{
    const bool isV6 = address.find(':') != std::string::npos;
    return (isV6 ? '[' + address + ']' : address) + ':' + std::to_string(port);
}

RetVal<Endpoint> Endpoint::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return makeError(ErrorCode::InvalidArgument, "expected IP:PORT, got \"" + text + '"');
    }
    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    if (endpoint.address.size() > 2 && endpoint.address.front() == '['
        && endpoint.address.back() == ']') {
        endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
    }
    if (!isIpAddress(endpoint.address)) {
        return makeError(ErrorCode::InvalidArgument,
                         '"' + endpoint.address + "\" is not an IP number");
    }
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, endpoint.port);
    if (error != std::errc() || end != last || first == last) {
        return makeError(ErrorCode::InvalidArgument,
                         "the port in \"" + text + "\" is not within 0 to 65535");
    }
    return endpoint;
}

} // namespace ivyspar
