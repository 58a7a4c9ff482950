#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/http.h"

namespace ivyspar {

/// Whether a field is hop-by-hop and is written by the transport itself.
bool isConnectionField(std::string_view name);
/// Whether `text` is a token of RFC 7230 (method or field name).
bool isHttpToken(std::string_view text);
/// Whether a field can be written without changing the meaning of the message. A line break in a
/// value would allow header injection or request smuggling.
bool isSafeField(const HttpHeader &header);
/// Removes the fields that `Connection` names, given its value.
void removeNamedFields(std::vector<HttpHeader> &headers, const std::string &connectionValue);
/// Appends all fields except unsafe ones and those that the transport writes itself.
void appendFields(std::string &head, const std::vector<HttpHeader> &headers);
void appendField(std::string &head, std::string_view name, std::string_view value);

/// The head of a request to `host`, or an empty string if method, target or a field is unsafe.
std::string formatRequestHead(const HttpRequest &request, const std::string &host);

struct ResponseFraming
{
    bool isHead = false;
    bool isKeepAlive = true;
    bool isVersion10 = false;
};
bool hasResponseBody(const HttpResponse &response, const ResponseFraming &framing);
std::string formatResponseHead(const HttpResponse &response, const ResponseFraming &framing);

} // namespace ivyspar
