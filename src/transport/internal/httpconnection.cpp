#include "transport/internal/httpconnection.h"

#include <utility>

#include "transport/internal/httpserver.h"

namespace ivyspar {

namespace {

constexpr std::uint16_t STATUS_BAD_REQUEST = 400;
constexpr std::uint16_t STATUS_REQUEST_TIMEOUT = 408;
constexpr std::uint16_t STATUS_PAYLOAD_TOO_LARGE = 413;
constexpr std::uint16_t STATUS_HEADER_TOO_LARGE = 431;
constexpr std::uint16_t STATUS_INTERNAL_ERROR = 500;
constexpr std::uint16_t STATUS_UNAVAILABLE = 503;

/// Time after which a client may repeat a request that had no room.
constexpr char RETRY_AFTER_SECONDS[] = "1";

constexpr ResponseFraming CLOSING{ false, false, false };

constexpr Duration LINGER_TIME = std::chrono::seconds(1);
constexpr std::size_t LINGER_BYTES = 4 * 1024 * 1024;

std::uint16_t statusFor(HttpParseStatus status)
{
    switch (status) {
    case HttpParseStatus::HeaderTooLarge:
        return STATUS_HEADER_TOO_LARGE;
    case HttpParseStatus::BodyTooLarge:
        return STATUS_PAYLOAD_TOO_LARGE;
    case HttpParseStatus::NoRoom:
        return STATUS_UNAVAILABLE;
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
        return "Too many connections or request bodies.\n";
    default:
        return "The request is malformed.\n";
    }
}

HttpResponse makeErrorResponse(std::uint16_t status)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain" });
    if (status == STATUS_UNAVAILABLE) {
        response.headers.push_back({ "Retry-After", RETRY_AFTER_SECONDS });
    }
    response.body = textFor(status);
    return response;
}

} // namespace

HttpConnection::HttpConnection(boost::intrusive_ptr<HttpServerCore> server, TcpStreamPtr stream)
    : m_server(std::move(server))
    , m_stream(std::move(stream))
    , m_exchanges(m_server->pipelines())
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
    m_lastInputAt = m_server->loop().now();
    startServing();
}

/// After an exception the connection must not stay open, with its timers and callbacks running.
void HttpConnection::startServing()
{
    m_server->loop().spawn([self = HttpConnectionPtr(this)] {
        if (!self->m_server->loop().runGuarded([&self] { self->serve(); })) {
            self->fail();
        }
    });
}

void HttpConnection::serve()
{
    while (serveOne()) {
        if (m_exchanges.isEmpty() && !hasInput()) {
            waitForRequest();
            return;
        }
        if (!m_exchanges.isEmpty()) {
            letOthersRun();
        }
    }
    endExchanges();
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

void HttpConnection::fail()
{
    stopTimer();
    m_stream->setReadObserver({});
    m_exchanges.notifyUndelivered(DeliveryFailure::Exception);
    m_exchanges.notifyDisconnect();
    if (m_state != State::Done) {
        finish();
    }
}

void HttpConnection::refuse()
{
    m_state = State::Done;
    respond(makeErrorResponse(STATUS_UNAVAILABLE), CLOSING);
    lingeringClose();
}

/// Suspends until the loop has processed the events that are ready. Otherwise a connection that
/// always has a request ready would be served more often than others.
void HttpConnection::letOthersRun()
{
    FiberWaiter waiter;
    m_server->loop().post([&waiter] { waiter.wake(); });
    waiter.wait();
}

/// Answers the first request. Returns whether the connection can serve another one.
bool HttpConnection::serveOne()
{
    if (m_exchanges.isEmpty() && !startNext()) {
        return false;
    }
    waitFor(m_exchanges.front());
    return answerFront();
}

/// Receives a request and handles it. Returns false if there is none.
bool HttpConnection::startNext()
{
    if (receive() != Received::Request) {
        return false;
    }
    m_state = State::Handling;
    HttpExchange &exchange = m_exchanges.push(takeRequest(), m_tally);
    // In an overloaded process, the client may have closed the connection already by the time its
    // request is read.
    m_stream->detectPeerClose();
    if (isDisconnected()) {
        exchange.notifyDisconnect();
    }
    startAhead();
    watchInput();
    run(exchange);
    return true;
}

HttpConnection::Received HttpConnection::receive()
{
    m_state = State::Receiving;
    m_exchanges.holdUnstarted(0);
    bool isContinueSent = false;
    bool isTimerStarted = false;
    while (true) {
        const HttpParseStatus status = readRequest();
        if (status == HttpParseStatus::Done) {
            stopTimer();
            return Received::Request;
        }
        if (status != HttpParseStatus::NeedMore) {
            return refuseInput(statusFor(status));
        }
        if (!std::exchange(isTimerStarted, true)) {
            startTimer(m_server->limits().receiveTimeout);
        }
        if (m_reader.expectsContinue() && !std::exchange(isContinueSent, true)) {
            sendContinue();
        }
        if (m_isTimedOut || m_stream->read()) {
            return onInputEnd();
        }
        m_lastInputAt = m_server->loop().now();
    }
}

HttpParseStatus HttpConnection::readRequest()
{
    const HttpLimits &limits = m_server->limits();
    std::size_t consumed = 0;
    const HttpParseStatus status =
        m_reader.read(m_stream->input(), { limits.headerBytes, limits.bodyBytes },
                      limits.bodyBudget.get(), consumed);
    m_stream->consume(consumed);
    return status;
}

HttpConnection::Received HttpConnection::onInputEnd()
{
    if (m_isTimedOut) {
        return refuseInput(STATUS_REQUEST_TIMEOUT);
    }
    stopTimer();
    return Received::Ended;
}

HttpConnection::Received HttpConnection::refuseInput(std::uint16_t status)
{
    stopTimer();
    respond(makeErrorResponse(status), CLOSING);
    return Received::Refused;
}

void HttpConnection::sendContinue()
{
    write("HTTP/1.1 100 Continue\r\n\r\n", {});
}

void HttpConnection::run(HttpExchange &exchange)
{
    HttpResponse response;
    const bool isHandled = m_server->loop().runGuarded([&] {
        // After `abort`, the owner of the handler may no longer exist.
        response = m_stream->isOpen() ? m_server->handler()(exchange) : HttpResponse();
    });
    if (!isHandled) {
        response = makeErrorResponse(STATUS_INTERNAL_ERROR);
    }
    exchange.finish(std::move(response));
    m_exchanges.onFinished(exchange);
    if (&exchange == &m_exchanges.front()) {
        m_frontFinished.wake();
    }
}

void HttpConnection::waitFor(const HttpExchange &exchange)
{
    while (!exchange.isFinished()) {
        m_frontFinished.wait();
    }
}

/// Sends the first response. Returns whether the connection stays open.
bool HttpConnection::answerFront()
{
    HttpExchange &exchange = m_exchanges.front();
    const bool isLast = m_exchanges.size() == 1;
    if (isLast) {
        m_stream->setReadObserver({});
    }
    // Requests in progress behind this one still need the connection.
    if (isLast && m_server->closesConnections()) {
        exchange.closeConnection();
    }
    const bool isSent = respond(exchange.response(), exchange.framing());
    if (!isSent) {
        exchange.notifyUndelivered(m_writeFailure);
    }
    const bool staysOpen = isSent && exchange.framing().isKeepAlive;
    m_exchanges.popFront();
    if (staysOpen && !m_exchanges.isEmpty()) {
        startAhead();
        if (!isInputFull()) {
            watchInput();
        }
    }
    return staysOpen;
}

/// Cancels the requests that will not be answered and waits for their handlers.
void HttpConnection::endExchanges()
{
    m_stream->setReadObserver({});
    m_exchanges.holdUnstarted(0);
    if (m_exchanges.isEmpty()) {
        return;
    }
    m_stream->shutdownSend();
    m_exchanges.notifyUndelivered(isDisconnected() ? DeliveryFailure::ClientGone
                                                   : DeliveryFailure::EarlierResponse);
    m_exchanges.notifyDisconnect();
    while (!m_exchanges.isEmpty()) {
        waitFor(m_exchanges.front());
        m_exchanges.popFront();
    }
}

/// Starts the requests that have arrived behind the first one, as far as the limits and the order
/// allow. The others wait until requests before them are answered.
void HttpConnection::startAhead()
{
    while (mayStartAhead()) {
        const HttpParseStatus status = readRequest();
        m_exchanges.holdUnstarted(m_reader.bytes());
        if (status != HttpParseStatus::Done) {
            return;
        }
        if (!m_server->isConcurrent(m_reader.request())) {
            m_delay = Delay::Order;
            return;
        }
        m_exchanges.holdUnstarted(0);
        HttpExchange &exchange = m_exchanges.push(takeRequest(), m_tally);
        exchange.setConcurrent(true);
        m_server->loop().spawn(
            [self = HttpConnectionPtr(this), &exchange] { self->run(exchange); });
    }
}

/// A client that does not read its responses gets no further requests started, nor does one whose
/// connection is about to close.
bool HttpConnection::mayStartAhead()
{
    const HttpLimits &limits = m_server->limits();
    if (limits.pipelinedRequests <= 1 || m_exchanges.isEmpty() || m_isWriting) {
        return false;
    }
    if (m_server->closesConnections() || m_exchanges.isClosing() || isDisconnected()
        || !m_stream->isOpen()) {
        return false;
    }
    if (m_reader.hasEnded() || m_stream->input().empty()) {
        return false;
    }
    if (!m_exchanges.back().framing().isKeepAlive || !isConcurrent(m_exchanges.back())) {
        m_delay = Delay::Order;
        return false;
    }
    if (!m_exchanges.hasRoom(limits)) {
        m_delay = Delay::Limit;
        return false;
    }
    return true;
}

bool HttpConnection::isConcurrent(HttpExchange &exchange)
{
    if (!exchange.isConcurrent()) {
        exchange.setConcurrent(m_server->isConcurrent(exchange.request()));
    }
    return *exchange.isConcurrent();
}

ReceivedRequest HttpConnection::takeRequest()
{
    ReceivedRequest received = m_reader.take();
    received.waited = endDelay();
    return received;
}

/// Counts the delay of a request that starts now and returns its length.
Duration HttpConnection::endDelay()
{
    const Delay delay = std::exchange(m_delay, Delay::None);
    if (delay == Delay::None) {
        return Duration::zero();
    }
    PipelineStats &stats = m_server->pipelines().stats();
    ++(delay == Delay::Order ? stats.waitedForOrder : stats.waitedForLimit);
    return std::chrono::duration_cast<Duration>(m_server->loop().now() - m_lastInputAt);
}

void HttpConnection::watchInput()
{
    m_stream->setReadObserver([this] { onReadWhileHandling(); });
    m_stream->startRead();
}

void HttpConnection::onReadWhileHandling()
{
    if (isDisconnected()) {
        m_exchanges.notifyDisconnect();
        return;
    }
    m_lastInputAt = m_server->loop().now();
    startAhead();
    if (!isInputFull()) {
        watchInput();
    }
}

/// Input that cannot be parsed yet is buffered up to the header limit. Without a bound a client
/// could exhaust the memory while its first request is handled.
bool HttpConnection::isInputFull() const
{
    return m_stream->input().size() >= m_server->limits().headerBytes;
}

bool HttpConnection::respond(const HttpResponse &response, const ResponseFraming &framing)
{
    const std::string head = formatResponseHead(response, framing);
    const bool hasBody = hasResponseBody(response, framing);
    return write(head, hasBody ? std::string_view(response.body.text()) : std::string_view());
}

bool HttpConnection::write(std::string_view head, std::string_view body)
{
    const TimerId receiveTimer = std::exchange(m_timer, TimerId());
    startTimer(m_server->limits().sendTimeout);
    std::size_t written = 0;
    m_isWriting = true;
    const auto error = m_stream->write(head, body, written);
    m_isWriting = false;
    m_writeFailure = writeFailure();
    stopTimer();
    m_timer = receiveTimer;
    return !error;
}

DeliveryFailure HttpConnection::writeFailure() const
{
    if (m_isTimedOut) {
        return DeliveryFailure::ClientTooSlow;
    }
    return m_stream->isOpen() ? DeliveryFailure::ClientGone : DeliveryFailure::ServerStopped;
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
    m_exchanges.notifyUndelivered(DeliveryFailure::ServerStopped);
    m_exchanges.dropCallbacks();
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
