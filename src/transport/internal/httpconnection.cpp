#include "transport/internal/httpconnection.h"

#include <cstdio>
#include <exception>
#include <utility>

#include "transport/internal/httpparser.h"
#include "transport/internal/httpserver.h"

namespace ivyspar {

namespace {

constexpr std::uint16_t STATUS_BAD_REQUEST = 400;
constexpr std::uint16_t STATUS_REQUEST_TIMEOUT = 408;
constexpr std::uint16_t STATUS_PAYLOAD_TOO_LARGE = 413;
constexpr std::uint16_t STATUS_HEADER_TOO_LARGE = 431;
constexpr std::uint16_t STATUS_INTERNAL_ERROR = 500;
constexpr std::uint16_t STATUS_UNAVAILABLE = 503;

constexpr Duration LINGER_TIME = std::chrono::seconds(1);
constexpr std::size_t LINGER_BYTES = 4 * 1024 * 1024;

std::uint16_t statusFor(HttpParseStatus status)
{
    switch (status) {
    case HttpParseStatus::HeaderTooLarge:
        return STATUS_HEADER_TOO_LARGE;
    case HttpParseStatus::BodyTooLarge:
        return STATUS_PAYLOAD_TOO_LARGE;
    default:
        return STATUS_BAD_REQUEST;
    }
}

const char *textFor(std::uint16_t status)
{
    switch (status) {
    case STATUS_REQUEST_TIMEOUT:
        return "The request did not arrive in time.\n";
    case STATUS_PAYLOAD_TOO_LARGE:
        return "The body is too large.\n";
    case STATUS_HEADER_TOO_LARGE:
        return "The header is too large.\n";
    case STATUS_INTERNAL_ERROR:
        return "Internal error.\n";
    case STATUS_UNAVAILABLE:
        return "Too many connections.\n";
    default:
        return "The request is malformed.\n";
    }
}

HttpResponse makeErrorResponse(std::uint16_t status)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.body = textFor(status);
    return response;
}

} // namespace

HttpConnection::HttpConnection(boost::intrusive_ptr<HttpServerCore> server, TcpStreamPtr stream)
    : m_server(std::move(server))
    , m_stream(std::move(stream))
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::waitForRequest()
{
    m_state = State::Idle;
    if (isDisconnected()) {
        finish();
        return;
    }
    startTimer(m_server->limits().idleTimeout);
    m_stream->setReadObserver([self = HttpConnectionPtr(this)] { self->onReadWhileIdle(); });
    m_stream->startRead();
}

void HttpConnection::onReadWhileIdle()
{
    stopTimer();
    if (m_stream->input().empty()) {
        finish();
        return;
    }
    m_server->loop().spawn([self = HttpConnectionPtr(this)] { self->serve(); });
}

void HttpConnection::serve()
{
    while (serveOne()) {
        if (m_stream->input().empty()) {
            waitForRequest();
            return;
        }
    }
    m_state = State::Done;
    m_server->onConnectionDone();
    lingeringClose();
}

void HttpConnection::finish()
{
    m_state = State::Done;
    m_stream->close();
    m_server->onConnectionDone();
}

void HttpConnection::refuse()
{
    m_state = State::Done;
    m_framing.isKeepAlive = false;
    respond(makeErrorResponse(STATUS_UNAVAILABLE));
    lingeringClose();
}

/// Returns whether the connection can serve another request.
bool HttpConnection::serveOne()
{
    if (receive() != Received::Request) {
        return false;
    }
    const HttpResponse response = handle();
    m_framing.isKeepAlive = m_framing.isKeepAlive && !m_server->closesConnections();
    return respond(response) && m_framing.isKeepAlive;
}

HttpConnection::Received HttpConnection::receive()
{
    m_state = State::Receiving;
    m_framing = {};
    HttpRequestParser parser({ m_server->limits().headerBytes, m_server->limits().bodyBytes });
    const Received received = receiveRest(parser);
    stopTimer();
    if (received != Received::Request) {
        return received;
    }
    m_request = std::move(parser.request());
    m_framing.isHead = m_request.method == "HEAD";
    m_framing.isKeepAlive = parser.isKeepAlive();
    m_framing.isVersion10 = parser.isVersion10();
    return received;
}

HttpConnection::Received HttpConnection::receiveRest(HttpRequestParser &parser)
{
    bool isContinueSent = false;
    bool isTimerStarted = false;
    while (true) {
        std::size_t consumed = 0;
        const HttpParseStatus status = parser.put(m_stream->input(), consumed);
        m_stream->consume(consumed);
        if (status == HttpParseStatus::Done) {
            return Received::Request;
        }
        if (status != HttpParseStatus::NeedMore) {
            return refuseInput(statusFor(status));
        }
        if (!std::exchange(isTimerStarted, true)) {
            startTimer(m_server->limits().receiveTimeout);
        }
        if (parser.expectsContinue() && !std::exchange(isContinueSent, true)) {
            sendContinue();
        }
        if (m_isTimedOut || m_stream->read()) {
            return onInputEnd();
        }
    }
}

HttpConnection::Received HttpConnection::onInputEnd()
{
    return m_isTimedOut ? refuseInput(STATUS_REQUEST_TIMEOUT) : Received::Ended;
}

HttpConnection::Received HttpConnection::refuseInput(std::uint16_t status)
{
    stopTimer();
    m_framing.isKeepAlive = false;
    respond(makeErrorResponse(status));
    return Received::Refused;
}

void HttpConnection::sendContinue()
{
    write("HTTP/1.1 100 Continue\r\n\r\n", {});
}

HttpResponse HttpConnection::handle()
{
    m_state = State::Handling;
    // In an overloaded process, the client may have closed the connection already by the time its
    // request is read.
    m_stream->detectPeerClose();
    watchForDisconnect();
    HttpResponse response;
    try {
        response = m_server->handler()(*this);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "ivyspar: uncaught exception in an HTTP handler: %s\n", error.what());
        m_framing.isKeepAlive = false;
        response = makeErrorResponse(STATUS_INTERNAL_ERROR);
    }
    m_stream->setReadObserver({});
    m_onDisconnect = {};
    m_request = {};
    return response;
}

void HttpConnection::watchForDisconnect()
{
    m_stream->setReadObserver([this] { onReadWhileHandling(); });
    m_stream->startRead();
}

/// Pipelined requests are buffered and reading continues until the buffer reaches the header limit.
/// Without a bound a client could exhaust the memory while its first request is handled.
void HttpConnection::onReadWhileHandling()
{
    if (isDisconnected()) {
        notifyDisconnect();
        return;
    }
    if (m_stream->input().size() < m_server->limits().headerBytes) {
        watchForDisconnect();
    }
}

void HttpConnection::onDisconnect(std::function<void()> callback)
{
    m_onDisconnect = std::move(callback);
    if (isDisconnected()) {
        notifyDisconnect();
    }
}

void HttpConnection::notifyDisconnect()
{
    if (const auto callback = std::exchange(m_onDisconnect, {})) {
        callback();
    }
}

bool HttpConnection::respond(const HttpResponse &response)
{
    const std::string head = formatResponseHead(response, m_framing);
    const bool hasBody = hasResponseBody(response, m_framing);
    return write(head, hasBody ? std::string_view(response.body) : std::string_view());
}

bool HttpConnection::write(std::string_view head, std::string_view body)
{
    const TimerId receiveTimer = std::exchange(m_timer, TimerId());
    startTimer(m_server->limits().sendTimeout);
    std::size_t written = 0;
    const auto error = m_stream->write(head, body, written);
    stopTimer();
    m_timer = receiveTimer;
    return !error;
}

/// Closing a socket with unread input resets the connection, and a client that is still sending
/// would lose the error response. So remaining input is read and discarded first, up to
/// `LINGER_BYTES` and `LINGER_TIME`.
void HttpConnection::lingeringClose()
{
    m_stream->shutdownSend();
    if (!m_server->beginLinger()) {
        m_stream->close();
        return;
    }
    startTimer(LINGER_TIME);
    std::size_t dropped = 0;
    while (!m_isTimedOut && dropped < LINGER_BYTES && !m_stream->read()) {
        dropped += m_stream->input().size();
        m_stream->consume(m_stream->input().size());
    }
    stopTimer();
    m_stream->close();
    m_server->endLinger();
}

void HttpConnection::closeIfIdle()
{
    if (m_state == State::Idle && m_stream->input().empty() && m_stream->available() == 0) {
        m_stream->close();
    }
}

void HttpConnection::abort()
{
    m_onDisconnect = {};
    m_stream->close();
}

void HttpConnection::startTimer(Duration duration)
{
    m_isTimedOut = false;
    m_timer = m_server->loop().callLater(duration, [this] {
        m_isTimedOut = true;
        m_stream->cancel();
    });
}

void HttpConnection::stopTimer()
{
    m_server->loop().cancelTimer(m_timer);
}

} // namespace ivyspar
