#include "protocol/internal/verdictresponse.h"

#include <cstdlib>

#include "protocol/headers.h"
#include "state/idvalue.h"

namespace ivyspar {

namespace {

std::uint16_t statusOf(const Verdict &verdict)
{
    constexpr std::uint16_t BAD_REQUEST = 400;
    constexpr std::uint16_t UNAUTHORIZED = 401;
    constexpr std::uint16_t NOT_FOUND = 404;
    constexpr std::uint16_t PAYLOAD_TOO_LARGE = 413;
    constexpr std::uint16_t TOO_MANY_REQUESTS = 429;
    constexpr std::uint16_t BAD_GATEWAY = 502;
    constexpr std::uint16_t SERVICE_UNAVAILABLE = 503;
    constexpr std::uint16_t GATEWAY_TIMEOUT = 504;
    if (verdict.outcome == Outcome::Unknown) {
        return verdict.reason == Reason::Timeout ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    }
    switch (verdict.reason) {
    case Reason::BadRequest:
        return BAD_REQUEST;
    case Reason::NoRule:
        return NOT_FOUND;
    case Reason::TooLarge:
        return PAYLOAD_TOO_LARGE;
    case Reason::UnknownKey:
        return UNAUTHORIZED;
    case Reason::CallerAttempts:
    case Reason::OverLimit:
        return TOO_MANY_REQUESTS;
    default:
        return SERVICE_UNAVAILABLE;
    }
}

void addRetryAfter(HttpResponse &response, Duration retryAfter)
{
    if (retryAfter <= Duration::zero()) {
        return;
    }
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    response.headers.push_back({ headers::RETRY_AFTER, std::to_string(seconds.count()) });
    response.headers.push_back({ headers::RETRY_AFTER_MS, std::to_string(millis.count()) });
}

} // namespace

std::string toText(RootId root)
{
    return toHex(root.value());
}

bool parseRootId(const std::string &text, RootId &root)
{
    constexpr std::size_t DIGITS = 16;
    if (text.size() != DIGITS
        || text.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
        return false;
    }
    root = RootId(std::strtoull(text.c_str(), nullptr, 16));
    return root != RootId();
}

HttpResponse makeVerdictResponse(RootId root, const Verdict &verdict, std::uint32_t attempts)
{
    HttpResponse response;
    response.status = statusOf(verdict);
    response.headers.push_back({ headers::OUTCOME, toText(verdict.outcome) });
    response.headers.push_back({ headers::REASON, toText(verdict.reason) });
    response.headers.push_back({ headers::REQUEST_ID, toText(root) });
    response.headers.push_back({ headers::ATTEMPTS, std::to_string(attempts) });
    response.headers.push_back({ "Content-Type", "text/plain" });
    addRetryAfter(response, verdict.retryAfter);
    response.body = std::string(toText(verdict.outcome)) + ": " + toText(verdict.reason) + '\n';
    return response;
}

} // namespace ivyspar
