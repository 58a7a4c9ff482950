#include "protocol/internal/ownupstreamdialect.h"

#include <algorithm>

#include "protocol/headers.h"
#include "protocol/loadreader.h"
#include "protocol/noticereader.h"

namespace ivyspar {

namespace {

constexpr std::uint16_t SERVICE_UNAVAILABLE = 503;
constexpr char NOT_RUN[] = "not-run";
const NoticeHeaders NOTICE_HEADERS{ headers::UPSTREAM_RATE_LIMIT, headers::UPSTREAM_LEAVING };

} // namespace

void OwnUpstreamDialect::prepareRequest(const UpstreamSend &send, HttpRequest &request) const
{
    request.headers.push_back({ headers::CONTEXT, send.context });
    const auto remainingMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(send.remaining).count();
    request.headers.push_back(
        { headers::DEADLINE_MS, std::to_string(std::max<long long>(0, remainingMs)) });
    if (!send.account.value().empty()) {
        request.headers.push_back({ headers::ACCOUNT, send.account.value() });
    }
}

UpstreamResponseKind OwnUpstreamDialect::classify(const HttpResponse &response) const
{
    const std::string *outcome = findHeader(response.headers, headers::UPSTREAM_OUTCOME);
    const bool isRefused = response.status == SERVICE_UNAVAILABLE && outcome && *outcome == NOT_RUN;
    return isRefused ? UpstreamResponseKind::Refused : UpstreamResponseKind::Ran;
}

/// An upstream may copy headers from the responses to its own calls. They would tell the caller
/// that its request was not run although it was.
void OwnUpstreamDialect::removeInternalHeaders(HttpResponse &response) const
{
    for (const char *name :
         { headers::OUTCOME, headers::REASON, headers::ATTEMPTS, headers::RETRY_AFTER_MS,
           headers::REQUEST_ID, headers::UPSTREAM_OUTCOME, headers::UPSTREAM_RATE_LIMIT,
           headers::UPSTREAM_LEAVING, headers::UPSTREAM_LOAD, headers::CONTEXT }) {
        removeHeader(response.headers, name);
    }
}

LoadStatement OwnUpstreamDialect::readLoad(const HttpResponse &response) const
{
    return ivyspar::readLoad(response.headers, headers::UPSTREAM_LOAD);
}

ResponseNotice OwnUpstreamDialect::readNotice(const HttpResponse &response) const
{
    return ivyspar::readNotice(response.headers, NOTICE_HEADERS);
}

UpstreamId OwnUpstreamDialect::readInstance(const HttpResponse & /*response*/) const
{
    return {};
}

} // namespace ivyspar
