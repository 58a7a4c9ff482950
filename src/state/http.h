#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/httpbody.h"

namespace ivyspar {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    std::vector<HttpHeader> headers;
    HttpBody body;
};

struct HttpResponse
{
    std::uint16_t status = 200;
    std::vector<HttpHeader> headers;
    HttpBody body;
};

/// Whether a response of this status reports a failure of the server.
constexpr bool isServerError(int status)
{
    constexpr int FIRST_SERVER_ERROR = 500;
    return status >= FIRST_SERVER_ERROR;
}

/// The value of the first header of that name (case-insensitive), or nullptr.
const std::string *findHeader(const std::vector<HttpHeader> &headers, const std::string &name);
/// Removes all headers of that name (case-insensitive).
void removeHeader(std::vector<HttpHeader> &headers, const std::string &name);
/// The host name in a `Host` header, without port and in lower case.
std::string hostNameOf(const std::string &host);
/// Compares header names case-insensitively.
bool isSameHeader(const std::string &a, const std::string &b);

} // namespace ivyspar
