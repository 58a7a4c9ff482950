#include "protocol/internal/ownrequestdialect.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "protocol/headers.h"
#include "protocol/internal/verdictresponse.h"

namespace ivyspar {

namespace {

/// Limit on the length of an `Idempotency-Key`.
constexpr std::size_t MAX_KEY_BYTES = 200;

tl::unexpected<EarlyRefusal> refuse(RootId root, Reason reason)
{
    return tl::unexpected<EarlyRefusal>(
        EarlyRefusal{ root, Verdict{ Outcome::NotRun, reason, Duration::zero() } });
}

/// Reads a whole number from a header; `fallback` if there is no such header. False for anything
/// else.
bool readNumber(const HttpRequest &request, const char *name, std::uint64_t fallback,
                std::uint64_t &number)
{
    number = fallback;
    const std::string *text = findHeader(request.headers, name);
    if (!text) {
        return true;
    }
    const char *last = text->data() + text->size();
    const auto [end, error] = std::from_chars(text->data(), last, number);
    return error == std::errc() && end == last && !text->empty();
}

/// Splits `/service/path?query` into the service and the target for its upstream.
bool splitTarget(const std::string &target, std::string &service, std::string &rest)
{
    if (target.empty() || target.front() != '/') {
        return false;
    }
    const auto end = target.find_first_of("/?", 1);
    service = target.substr(1, end == std::string::npos ? std::string::npos : end - 1);
    rest = end == std::string::npos ? "/" : target.substr(end);
    if (rest.front() != '/') {
        rest.insert(rest.begin(), '/');
    }
    return !service.empty();
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

/// Removes headers that are meant for the daemon or that it sets itself.
void removeOwnHeaders(std::vector<HttpHeader> &headers)
{
    for (const char *name :
         { headers::DEADLINE_MS, headers::ATTEMPT, headers::TICKET, headers::CONTEXT,
           headers::OUTCOME, headers::REASON, headers::KEY, headers::ACCOUNT }) {
        removeHeader(headers, name);
    }
}

/// Finds the rule, by host if the configuration has one for it, otherwise by the service that the
/// path names. False if the target is malformed.
bool findTarget(const HttpRequest &request, const Configuration &configuration, CallerRequest &read)
{
    const std::string *host = findHeader(request.headers, "Host");
    read.rule = host ? findRuleOfHost(configuration, *host, pathOf(request.target)) : nullptr;
    if (read.rule) {
        return true;
    }
    std::string service;
    if (!splitTarget(request.target, service, read.forwarded.target)) {
        return false;
    }
    read.rule = findRule(configuration.rules, ServiceName(service), request.method,
                         pathOf(read.forwarded.target));
    // The header names this daemon and would differ if the caller repeats the request at another.
    removeHeader(read.forwarded.headers, "Host");
    return true;
}

bool readOnce(const HttpRequest &request, CallerRequest &read)
{
    if (read.rule->repetition != Repetition::Once) {
        return true;
    }
    const std::string *key = findHeader(request.headers, headers::IDEMPOTENCY_KEY);
    const std::string *ticket = findHeader(request.headers, headers::TICKET);
    if (key && (key->empty() || key->size() > MAX_KEY_BYTES)) {
        return false;
    }
    if (key || ticket) {
        read.once = OnceTerms{ IdempotencyKey(key ? *key : std::string()), read.rule->keyLifetime,
                               ticket ? *ticket : std::string() };
    }
    return true;
}

bool readTerms(const HttpRequest &request, CallerRequest &read)
{
    const auto ruleMs = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(read.rule->wait).count());
    std::uint64_t deadlineMs = 0;
    std::uint64_t attempt = 0;
    if (!readNumber(request, headers::DEADLINE_MS, ruleMs, deadlineMs)
        || !readNumber(request, headers::ATTEMPT, 1, attempt) || attempt == 0
        || attempt > UINT32_MAX) {
        return false;
    }
    read.callerAttempt = static_cast<std::uint32_t>(attempt);
    constexpr std::uint64_t MAX_CALLER_WAIT_MS = 86'400'000;
    read.wait = std::chrono::milliseconds(std::min(deadlineMs, ruleMs));
    read.callerWait = std::chrono::milliseconds(std::min(deadlineMs, MAX_CALLER_WAIT_MS));
    return readOnce(request, read);
}

} // namespace

const RuleSpec *OwnRequestDialect::findRule(const HttpRequest &request,
                                            const Configuration &configuration) const
{
    CallerRequest read;
    return findTarget(request, configuration, read) ? read.rule : nullptr;
}

tl::expected<CallerRequest, EarlyRefusal>
OwnRequestDialect::read(const HttpRequest &request, const RequestOrigin & /*origin*/,
                        const Configuration *configuration) const
{
    CallerRequest read;
    const std::string *requestId = findHeader(request.headers, headers::REQUEST_ID);
    if (requestId) {
        (void)parseRootId(*requestId, read.root);
    }
    if (!configuration) {
        return refuse(read.root, Reason::NoConfiguration);
    }
    read.forwarded = request;
    if (!findTarget(request, *configuration, read)) {
        return refuse(read.root, Reason::BadRequest);
    }
    if (!read.rule) {
        return refuse(read.root, Reason::NoRule);
    }
    if (!readTerms(request, read)) {
        return refuse(read.root, Reason::BadRequest);
    }
    if (const std::string *context = findHeader(request.headers, headers::CONTEXT)) {
        read.context = *context;
    }
    if (const std::string *key = findHeader(request.headers, headers::KEY)) {
        read.key = AccountKey(*key);
    }
    removeOwnHeaders(read.forwarded.headers);
    return read;
}

HttpResponse OwnRequestDialect::makeRefusal(RootId root, const Verdict &verdict,
                                            std::uint32_t attempts) const
{
    return makeVerdictResponse(root, verdict, attempts);
}

void OwnRequestDialect::addResultHeaders(RootId root, std::uint32_t attempts,
                                         HttpResponse &response) const
{
    response.headers.push_back({ headers::OUTCOME, toText(Outcome::Answered) });
    response.headers.push_back({ headers::REQUEST_ID, toText(root) });
    response.headers.push_back({ headers::ATTEMPTS, std::to_string(attempts) });
}

} // namespace ivyspar
