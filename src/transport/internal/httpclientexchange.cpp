#include "transport/internal/httpclientexchange.h"

#include <utility>

#include <boost/asio/error.hpp>

#include "transport/internal/httpclient.h"
#include "transport/internal/httpfields.h"
#include "transport/internal/httpparser.h"

namespace ivyspar {

namespace {

constexpr std::uint16_t STATUS_SWITCHING_PROTOCOLS = 101;
constexpr std::uint16_t FIRST_FINAL_STATUS = 200;
constexpr std::uint16_t STATUS_UNAVAILABLE = 503;
/// Interim responses and late responses to other requests that may precede a response. A server
/// that sends them without end would otherwise occupy the loop until the timeout.
constexpr std::size_t MAX_SKIPPED_RESPONSES = 64;

const char *textFor(HttpParseStatus status)
{
    switch (status) {
    case HttpParseStatus::HeaderTooLarge:
        return "the response header exceeds the size limit";
    case HttpParseStatus::BodyTooLarge:
        return "the response body exceeds the size limit";
    case HttpParseStatus::NoRoom:
        return "the response does not fit into the memory for bodies";
    default:
        return "the response is malformed or has no length";
    }
}

} // namespace

HttpClientExchange::HttpClientExchange(HttpClientCore &client, HttpPoolPtr pool,
                                       const Endpoint &endpoint, const HttpRequest &request)
    : m_client(client)
    , m_pool(std::move(pool))
    , m_endpoint(endpoint)
    , m_request(request)
{
    const std::string &echoHeader = m_client.limits().echoHeader;
    const std::string *echo =
        echoHeader.empty() ? nullptr : findHeader(m_request.headers, echoHeader);
    m_echo = echo ? *echo : std::string();
}

HttpResult HttpClientExchange::run(Duration timeout, const HttpCancellationPtr &cancellation)
{
    HttpResult result = runUnreported(timeout, cancellation);
    result.send = m_send;
    return result;
}

HttpResult HttpClientExchange::runUnreported(Duration timeout,
                                             const HttpCancellationPtr &cancellation)
{
    m_head = formatRequestHead(m_request, m_endpoint.text());
    if (m_head.empty()) {
        return fail(HttpFailureCause::Broken,
                    "the method, target or a header field of the request is invalid");
    }
    if (!cancellation) {
        return runWithTimeout(timeout);
    }
    if (cancellation->isCancelled()) {
        return fail(HttpFailureCause::Cancelled, "the request was cancelled before it was sent");
    }
    cancellation->setAction([this] { abort(HttpFailureCause::Cancelled); });
    HttpResult result = runWithTimeout(timeout);
    cancellation->setAction({});
    return result;
}

HttpResult HttpClientExchange::runWithTimeout(Duration timeout)
{
    m_end = m_client.loop().now() + timeout;
    const TimerId timer =
        m_client.loop().callLater(timeout, [this] { abort(HttpFailureCause::Timeout); });
    HttpResult result = runOnConnection();
    m_client.loop().cancelTimer(timer);
    return result;
}

void HttpClientExchange::abort(HttpFailureCause cause)
{
    if (m_abortCause) {
        return;
    }
    m_abortCause = cause;
    if (m_connection.stream) {
        m_connection.stream->close();
    }
}

HttpResult HttpClientExchange::runOnConnection()
{
    while (auto idle = m_pool->takeIdle(m_echo)) {
        useConnection(std::move(*idle));
        HttpResult result = sendAndReceive();
        releaseConnection();
        if (!canRetryOnNewConnection(result)) {
            return result;
        }
    }
    return runOnNewConnection();
}

/// True if the server closed an idle connection before any byte of the request was sent on it.
bool HttpClientExchange::canRetryOnNewConnection(const HttpResult &result) const
{
    return !result && !m_abortCause && m_send.sentBytes == 0;
}

HttpResult HttpClientExchange::runOnNewConnection()
{
    if (!m_pool->reserveInsteadOfIdle()) {
        return fail(HttpFailureCause::NoConnection,
                    "the connection limit of the endpoint is reached");
    }
    useConnection(m_client.makeConnection());
    const Ret connected = m_client.connect(m_connection.stream, m_endpoint);
    HttpResult result =
        connected ? sendAndReceive() : fail(HttpFailureCause::Connect, connected.error().text);
    releaseConnection();
    return result;
}

void HttpClientExchange::useConnection(HttpPoolConnection connection)
{
    m_connection = std::move(connection);
    m_send = {};
    m_send.connection = m_connection.number;
    m_send.earlierRequests = m_connection.carried.count();
}

void HttpClientExchange::releaseConnection()
{
    HttpPoolConnection connection = std::exchange(m_connection, {});
    if (m_isReusable && connection.stream->isOpen() && !connection.carried.isFull()) {
        m_client.putIdle(m_pool, std::move(connection));
    } else {
        m_pool->discard(connection.stream);
    }
}

HttpResult HttpClientExchange::sendAndReceive()
{
    const bool isFirst = m_send.earlierRequests == 0;
    m_connection.carried.add(m_client.loop().now(), m_echo, m_end);
    const auto error = m_connection.stream->write(m_head, m_request.body.text(), m_send.sentBytes);
    if (m_abortCause || (error && m_send.sentBytes == 0)) {
        return fail(HttpFailureCause::Broken, "failed to send the request: " + error.message());
    }
    m_isSentWhole = !error;
    // A server that rejects a body may respond and close before all of it was sent; its response
    // may still be readable.
    HttpResult result = receive(isFirst);
    m_isReusable = m_isReusable && !error;
    return result;
}

HttpResult HttpClientExchange::receive(bool isFirst)
{
    HttpResult result = receiveFinal();
    ResponseOrigin origin = originOf(result);
    // A server may send a late duplicate response to an earlier request. Taken as the response to
    // this one, it would reach the wrong caller. The right one may follow on the same connection.
    bool isClean = true;
    while (origin == ResponseOrigin::OtherRequest) {
        isClean = false;
        ++m_send.foreignResponses;
        result = receiveFinal();
        origin = originOf(result);
    }
    m_isReusable = m_isReusable && isClean && origin == ResponseOrigin::ThisRequest;
    const bool mayBeLate = !m_echo.empty() && !(isFirst && isClean);
    if (origin == ResponseOrigin::Unidentified && mayBeLate) {
        return fail(HttpFailureCause::Broken,
                    "the response on a reused connection does not identify its request");
    }
    return result;
}

HttpClientExchange::ResponseOrigin HttpClientExchange::originOf(const HttpResult &result) const
{
    const std::string &name = m_client.limits().echoHeader;
    if (!result || name.empty()) {
        return ResponseOrigin::ThisRequest;
    }
    const std::string *echoed = findHeader(result->headers, name);
    if (!echoed) {
        return ResponseOrigin::Unidentified;
    }
    return *echoed == m_echo ? ResponseOrigin::ThisRequest : ResponseOrigin::OtherRequest;
}

HttpResult HttpClientExchange::receiveFinal()
{
    HttpResult result = receiveOne();
    while (result && result->status < FIRST_FINAL_STATUS) {
        if (result->status == STATUS_SWITCHING_PROTOCOLS) {
            m_isReusable = false;
            return fail(HttpFailureCause::Broken,
                        "the server switched to another protocol (status 101)");
        }
        ++m_send.interimResponses;
        result = receiveOne();
    }
    return result;
}

HttpResult HttpClientExchange::receiveOne()
{
    m_isReusable = false;
    if (m_receivedResponses > MAX_SKIPPED_RESPONSES) {
        return fail(HttpFailureCause::Broken, "too many responses that do not answer the request");
    }
    ++m_receivedResponses;
    const HttpClientLimits &limits = m_client.limits();
    HttpResponseParser parser({ limits.headerBytes, limits.bodyBytes }, m_request.method != "HEAD",
                              limits.acceptsUnframedResponses, openCharge());
    HttpParseStatus status = HttpParseStatus::NeedMore;
    while (true) {
        std::size_t consumed = 0;
        status = parser.put(m_connection.stream->input(), consumed);
        m_connection.stream->consume(consumed);
        if (status != HttpParseStatus::NeedMore) {
            break;
        }
        const auto error = m_connection.stream->read();
        if (error == boost::asio::error::eof && !m_abortCause && m_isSentWhole
            && parser.finish() == HttpParseStatus::Done) {
            m_send.hasEndedByClose = true;
            return std::move(parser.response());
        }
        if (error || m_abortCause) {
            m_hasConnectionEnded = !m_abortCause;
            return fail(HttpFailureCause::Broken, "incomplete response: " + error.message());
        }
    }
    if (status != HttpParseStatus::Done) {
        const bool hasRoom = status != HttpParseStatus::NoRoom;
        return fail(hasRoom ? HttpFailureCause::Broken : HttpFailureCause::NoRoom, textFor(status));
    }
    m_isReusable = parser.isKeepAlive() && m_connection.stream->input().empty()
        && (limits.reusesAfterUnavailable || parser.response().status != STATUS_UNAVAILABLE);
    return std::move(parser.response());
}

/// A response that has grown larger than the others is dropped when there is no room.
BodyChargePtr HttpClientExchange::openCharge()
{
    const BodyBudgetPtr &budget = m_client.limits().bodyBudget;
    return budget ? budget->open(MessageKind::Response, [this] { abort(HttpFailureCause::NoRoom); })
                  : nullptr;
}

HttpResult HttpClientExchange::fail(HttpFailureCause cause, std::string text) const
{
    HttpFailure failure;
    failure.stage = m_send.sentBytes == 0 ? HttpFailureStage::NotSent : HttpFailureStage::MaybeSent;
    failure.cause = m_abortCause.value_or(cause);
    const bool hasYielded = m_abortCause == HttpFailureCause::NoRoom;
    failure.text = hasYielded ? textFor(HttpParseStatus::NoRoom) : std::move(text);
    failure.hasConnectionEnded = m_hasConnectionEnded;
    return tl::unexpected<HttpFailure>(std::move(failure));
}

} // namespace ivyspar
