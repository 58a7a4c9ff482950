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

const char *textFor(HttpParseStatus status)
{
    switch (status) {
    case HttpParseStatus::HeaderTooLarge:
        return "the response header exceeds the size limit";
    case HttpParseStatus::BodyTooLarge:
        return "the response body exceeds the size limit";
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
}

HttpResult HttpClientExchange::run(Duration timeout, const HttpCancellationPtr &cancellation)
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
    if (m_stream) {
        m_stream->close();
    }
}

HttpResult HttpClientExchange::runOnConnection()
{
    while ((m_stream = m_pool->takeIdle())) {
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
    return !result && !m_abortCause && m_sentBytes == 0;
}

HttpResult HttpClientExchange::runOnNewConnection()
{
    if (!m_pool->reserve()) {
        return fail(HttpFailureCause::NoConnection,
                    "the connection limit of the endpoint is reached");
    }
    m_stream = m_client.makeStream();
    const Ret connected = m_client.connect(m_stream, m_endpoint);
    HttpResult result =
        connected ? sendAndReceive() : fail(HttpFailureCause::Connect, connected.error().text);
    releaseConnection();
    return result;
}

void HttpClientExchange::releaseConnection()
{
    const TcpStreamPtr stream = std::exchange(m_stream, {});
    if (m_isReusable && stream->isOpen()) {
        m_client.putIdle(m_pool, stream);
    } else {
        m_pool->discard(stream);
    }
}

HttpResult HttpClientExchange::sendAndReceive()
{
    const auto error = m_stream->write(m_head, m_request.body, m_sentBytes);
    if (m_abortCause || (error && m_sentBytes == 0)) {
        return fail(HttpFailureCause::Broken, "failed to send the request: " + error.message());
    }
    // A server that rejects a body may respond and close before all of it was sent; its response
    // may still be readable.
    HttpResult result = receive();
    m_isReusable = m_isReusable && !error;
    return result;
}

HttpResult HttpClientExchange::receive()
{
    HttpResult result = receiveFinal();
    // A server may send a late duplicate response to an earlier request. Taken as the response to
    // this one, it would reach the wrong caller. The right one may follow on the same connection.
    bool isClean = true;
    while (result && !matchesEchoHeader(*result)) {
        isClean = false;
        result = receiveFinal();
    }
    m_isReusable = m_isReusable && isClean;
    return result;
}

bool HttpClientExchange::matchesEchoHeader(const HttpResponse &response) const
{
    const std::string &name = m_client.limits().echoHeader;
    if (name.empty()) {
        return true;
    }
    const std::string *sent = findHeader(m_request.headers, name);
    const std::string *echoed = findHeader(response.headers, name);
    return !sent || !echoed || *sent == *echoed;
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
        result = receiveOne();
    }
    return result;
}

HttpResult HttpClientExchange::receiveOne()
{
    m_isReusable = false;
    const HttpClientLimits &limits = m_client.limits();
    HttpResponseParser parser({ limits.headerBytes, limits.bodyBytes }, m_request.method != "HEAD",
                              limits.acceptsUnframedResponses);
    HttpParseStatus status = HttpParseStatus::NeedMore;
    while (true) {
        std::size_t consumed = 0;
        status = parser.put(m_stream->input(), consumed);
        m_stream->consume(consumed);
        if (status != HttpParseStatus::NeedMore) {
            break;
        }
        const auto error = m_stream->read();
        if (error == boost::asio::error::eof && !m_abortCause
            && parser.finish() == HttpParseStatus::Done) {
            return std::move(parser.response());
        }
        if (error || m_abortCause) {
            m_hasConnectionEnded = !m_abortCause;
            return fail(HttpFailureCause::Broken, "incomplete response: " + error.message());
        }
    }
    if (status != HttpParseStatus::Done) {
        return fail(HttpFailureCause::Broken, textFor(status));
    }
    m_isReusable = parser.isKeepAlive() && m_stream->input().empty();
    return std::move(parser.response());
}

HttpResult HttpClientExchange::fail(HttpFailureCause cause, std::string text) const
{
    HttpFailure failure;
    failure.stage = m_sentBytes == 0 ? HttpFailureStage::NotSent : HttpFailureStage::MaybeSent;
    failure.cause = m_abortCause.value_or(cause);
    failure.text = std::move(text);
    failure.hasConnectionEnded = m_hasConnectionEnded;
    return tl::unexpected<HttpFailure>(std::move(failure));
}

} // namespace ivyspar
