#include "transport/internal/httpfields.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace ivyspar {

namespace {

constexpr std::string_view PROXY_PREFIX = "proxy-";
constexpr std::array<std::string_view, 8> CONNECTION_FIELDS = {
    "connection", "keep-alive", "transfer-encoding", "upgrade",
    "te",         "trailer",    "content-length",    "expect",
};
constexpr unsigned STATUS_NO_CONTENT = 204;
constexpr unsigned STATUS_NOT_MODIFIED = 304;
constexpr unsigned STATUS_MIN = 200;
constexpr unsigned STATUS_MAX = 999;
constexpr unsigned STATUS_INTERNAL_ERROR = 500;

bool isSame(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view OTHERS = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || OTHERS.find(c) != std::string_view::npos;
}

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    constexpr unsigned char FIRST_PRINTABLE = 0x20;
    constexpr unsigned char DELETE = 0x7f;
    return (byte < FIRST_PRINTABLE && c != '\t') || byte == DELETE;
}

bool isSafeTarget(const std::string &target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](char c) {
        return isControl(c) || c == ' ' || c == '\t';
    });
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool sendsZeroContentLength(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

unsigned wireStatus(const HttpResponse &response)
{
    const bool isValid = response.status >= STATUS_MIN && response.status <= STATUS_MAX;
    return isValid ? response.status : STATUS_INTERNAL_ERROR;
}

} // namespace

bool isConnectionField(std::string_view name)
{
    if (name.size() > PROXY_PREFIX.size()
        && isSame(name.substr(0, PROXY_PREFIX.size()), PROXY_PREFIX)) {
        return true;
    }
    return std::any_of(CONNECTION_FIELDS.begin(), CONNECTION_FIELDS.end(),
                       [&](std::string_view field) { return isSame(field, name); });
}

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isSafeField(const HttpHeader &header)
{
    return isHttpToken(header.name)
        && std::none_of(header.value.begin(), header.value.end(), isControl);
}

void removeNamedFields(std::vector<HttpHeader> &headers, const std::string &connectionValue)
{
    std::string_view rest = connectionValue;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        removeHeader(headers, std::string(trim(rest.substr(0, comma))));
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
}

void appendField(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

void appendFields(std::string &head, const std::vector<HttpHeader> &headers)
{
    for (const auto &header : headers) {
        if (!isConnectionField(header.name) && isSafeField(header)) {
            appendField(head, header.name, header.value);
        }
    }
}

std::string formatRequestHead(const HttpRequest &request, const std::string &host)
{
    const bool isSafe = isHttpToken(request.method) && isSafeTarget(request.target)
        && std::all_of(request.headers.begin(), request.headers.end(), isSafeField);
    if (!isSafe) {
        return {};
    }
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (findHeader(request.headers, "Host") == nullptr) {
        appendField(head, "Host", host);
    }
    appendFields(head, request.headers);
    if (!request.body.empty() || sendsZeroContentLength(request.method)) {
        appendField(head, "Content-Length", std::to_string(request.body.size()));
    }
    head += "\r\n";
    return head;
}

bool hasResponseBody(const HttpResponse &response, const ResponseFraming &framing)
{
    return !framing.isHead && response.status != STATUS_NO_CONTENT
        && response.status != STATUS_NOT_MODIFIED;
}

std::string formatResponseHead(const HttpResponse &response, const ResponseFraming &framing)
{
    const unsigned status = wireStatus(response);
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
    head.append(reason.data(), reason.size()).append("\r\n");
    appendFields(head, response.headers);
    // The length in a response to HEAD is that of the body of a GET response. If the handler
    // provides no body, it is unknown, and 0 would be wrong.
    if (hasResponseBody(response, framing) || (framing.isHead && !response.body.empty())) {
        appendField(head, "Content-Length", std::to_string(response.body.size()));
    }
    if (!framing.isKeepAlive) {
        appendField(head, "Connection", "close");
    } else if (framing.isVersion10) {
        appendField(head, "Connection", "keep-alive");
    }
    head += "\r\n";
    return head;
}

} // namespace ivyspar
