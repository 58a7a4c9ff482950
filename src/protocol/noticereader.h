#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/upstreams/responsenotice.h"
#include "state/http.h"

namespace ivyspar {

/// Names of the headers in which servers state a notice.
struct NoticeHeaders
{
    std::string rateLimit;
    std::string leaving;
};

/// Reads digits with an optional fraction after a point. Nothing for all other text, such as signs,
/// exponents and numbers that are too long.
std::optional<RequestRate> parseRequestRate(const std::string &text);

/// Reads the notice of a response. More than one limit is malformed; a server is leaving only if
/// the value is exactly `1`.
ResponseNotice readNotice(const std::vector<HttpHeader> &headers, const NoticeHeaders &names);

} // namespace ivyspar
