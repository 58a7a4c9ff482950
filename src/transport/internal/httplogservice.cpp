#include "transport/internal/httplogservice.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "protocol/base64.h"
#include "protocol/internal/cborfields.h"
#include "transport/logheaders.h"

namespace ivyspar {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t STATUS_OK = 200;
constexpr std::uint16_t STATUS_CREATED = 201;
constexpr std::uint16_t STATUS_BAD_REQUEST = 400;
constexpr std::uint16_t STATUS_NOT_FOUND = 404;
constexpr std::uint16_t STATUS_TOO_LARGE = 413;
constexpr std::uint16_t STATUS_TOO_MANY = 429;

std::string statusText(const HttpResponse &response)
{
    return "the log responded with status " + std::to_string(response.status);
}

/// Status 503 alone proves nothing: an intermediary may have sent it after the log had appended the
/// record. A caller told "not appended" would then append the record a second time.
bool provesNotAppended(const HttpResponse &response)
{
    const std::string *outcome = findHeader(response.headers, headers::LOG_OUTCOME);
    return outcome && *outcome == headers::LOG_NOT_APPENDED;
}

RetVal<LogOffset> parseAppendResponse(const HttpResponse &response)
{
    switch (response.status) {
    case STATUS_CREATED: {
        const Json body = Json::parse(response.body.text(), nullptr, false);
        const auto offset =
            body.is_object() ? unsignedField<std::uint64_t>(body, "offset") : std::nullopt;
        if (!offset) {
            return makeError(ErrorCode::Unknown,
                             "the log's response to an append has no valid offset");
        }
        return LogOffset(*offset);
    }
    case STATUS_TOO_LARGE:
    case STATUS_TOO_MANY:
        return makeError(ErrorCode::Throttled, statusText(response));
    case STATUS_BAD_REQUEST:
    case STATUS_NOT_FOUND:
        return makeError(ErrorCode::InvalidArgument, statusText(response));
    default:
        return makeError(provesNotAppended(response) ? ErrorCode::Unavailable : ErrorCode::Unknown,
                         statusText(response));
    }
}

tl::unexpected<Error> malformedPage()
{
    return makeError(ErrorCode::Unavailable, "the log returned a malformed page");
}

/// Fails unless the records have contiguous offsets from `from`, or from the first retained one.
RetVal<LogPage> parsePage(const std::string &body, LogOffset from)
{
    const Json map = Json::parse(body, nullptr, false);
    if (!map.is_object()) {
        return malformedPage();
    }
    const auto first = unsignedField<std::uint64_t>(map, "first");
    const auto end = unsignedField<std::uint64_t>(map, "end");
    const auto records = map.find("records");
    if (!first || !end || records == map.end() || !records->is_array()) {
        return malformedPage();
    }
    LogPage page{ LogOffset(*first), LogOffset(*end), {} };
    std::uint64_t expected = std::max(from.value(), *first);
    for (const Json &each : *records) {
        if (!each.is_object()) {
            return malformedPage();
        }
        const auto offset = unsignedField<std::uint64_t>(each, "offset");
        const auto text = textField(each, "payload", MAX_LOG_RESPONSE_BYTES);
        auto payload = text ? fromBase64(*text) : std::nullopt;
        // With a gap a reader would skip a record permanently and misinterpret later ones.
        if (!offset || !payload || *offset != expected) {
            return malformedPage();
        }
        page.records.push_back({ LogOffset(*offset), std::move(*payload) });
        ++expected;
    }
    return page;
}

std::string recordsTarget(const StreamName &stream)
{
    return "/streams/" + stream.value() + "/records";
}

} // namespace

HttpLogService::HttpLogService(LogServiceSettings settings, IHttpClient &client)
    : m_settings(std::move(settings))
    , m_client(client)
{
}

/// The next endpoint is tried only if it is proven that nothing was appended: another append after
/// a lost response would write the record twice.
RetVal<LogOffset> HttpLogService::append(const StreamName &stream, const std::string &payload)
{
    HttpRequest request = makeRequest("POST", recordsTarget(stream));
    request.headers.push_back({ "Content-Type", "application/octet-stream" });
    request.body = payload;
    Error error{ ErrorCode::Unavailable, "no log endpoint is set" };
    const std::size_t start = m_preferred;
    for (std::size_t i = 0; i < m_settings.endpoints.size(); ++i) {
        const HttpResult result =
            m_client.exchange(endpoint(start + i), request, m_settings.timeout, nullptr);
        if (!result && result.error().stage == HttpFailureStage::MaybeSent) {
            preferEndpoint(start + i + 1);
            return makeError(ErrorCode::Unknown,
                             "no response from the log: " + result.error().text);
        }
        if (!result) {
            error = { ErrorCode::Unavailable, "failed to reach the log: " + result.error().text };
            continue;
        }
        RetVal<LogOffset> offset = parseAppendResponse(*result);
        if (offset || offset.error().code != ErrorCode::Unavailable) {
            preferEndpoint(start + i);
            return offset;
        }
        error = offset.error();
    }
    return tl::unexpected<Error>(error);
}

RetVal<LogPage> HttpLogService::read(const StreamName &stream, LogOffset from,
                                     std::uint32_t maxRecords, Duration wait)
{
    std::string target = recordsTarget(stream) + "?from=" + std::to_string(from.value())
        + "&max=" + std::to_string(maxRecords);
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    if (waitMs > 0) {
        target += "&wait_ms=" + std::to_string(waitMs);
    }
    const HttpRequest request = makeRequest("GET", target);
    Error error{ ErrorCode::Unavailable, "no log endpoint is set" };
    const std::size_t start = m_preferred;
    for (std::size_t i = 0; i < m_settings.endpoints.size(); ++i) {
        const auto cancellation =
            m_reads.insert(m_reads.end(), HttpCancellationPtr(new HttpCancellation));
        const HttpResult result = m_client.exchange(endpoint(start + i), request,
                                                    m_settings.timeout + wait, *cancellation);
        m_reads.erase(cancellation);
        if (!result && result.error().cause == HttpFailureCause::Cancelled) {
            return makeError(ErrorCode::Cancelled, "the read was cancelled");
        }
        if (!result) {
            error = { ErrorCode::Unavailable, "no response from the log: " + result.error().text };
            continue;
        }
        if (result->status == STATUS_TOO_MANY) {
            return makeError(ErrorCode::Throttled, statusText(*result));
        }
        if (result->status != STATUS_OK) {
            error = { ErrorCode::Unavailable, statusText(*result) };
            continue;
        }
        preferEndpoint(start + i);
        return parsePage(result->body, from);
    }
    return tl::unexpected<Error>(error);
}

void HttpLogService::cancelReads()
{
    // Iterates over a copy, as the woken fibers remove their entries from the list.
    const std::list<HttpCancellationPtr> reads = m_reads;
    for (const HttpCancellationPtr &each : reads) {
        each->cancel();
    }
}

HttpRequest HttpLogService::makeRequest(std::string method, std::string target) const
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    if (!m_settings.clientName.empty()) {
        request.headers.push_back({ headers::LOG_CLIENT, m_settings.clientName });
    }
    return request;
}

const Endpoint &HttpLogService::endpoint(std::size_t index) const
{
    return m_settings.endpoints[index % m_settings.endpoints.size()];
}

void HttpLogService::preferEndpoint(std::size_t index)
{
    m_preferred = index % m_settings.endpoints.size();
}

std::unique_ptr<ILogService> makeHttpLogService(const LogServiceSettings &settings,
                                                IHttpClient &client)
{
    return std::make_unique<HttpLogService>(settings, client);
}

} // namespace ivyspar
