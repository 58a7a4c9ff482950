#include "transport/internal/httpserver.h"

#include <algorithm>
#include <utility>

#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

using boost::asio::ip::tcp;

/// Connections over the limit that are being answered with 503 at a time; further ones are closed
/// without a response.
constexpr std::size_t MAX_REFUSALS = 64;
/// Lingering connections at a time. Bounds the connections that clients which cause errors can hold
/// in addition to the connection limit.
constexpr std::size_t MAX_LINGERING = 256;
constexpr Duration ACCEPT_RETRY_DELAY = std::chrono::milliseconds(50);
/// Maximum time that a drain leaves idle connections open.
constexpr Duration DRAIN_GRACE = std::chrono::milliseconds(200);

} // namespace

HttpServerCore::HttpServerCore(EventLoop &loop)
    : m_loop(loop)
    , m_acceptor(loop.ioContext())
{
}

RetVal<Endpoint> HttpServerCore::listen(const Endpoint &endpoint, const HttpLimits &limits,
                                        HttpHandler handler)
{
    if (m_acceptor.is_open()) {
        return makeError(ErrorCode::Conflict, "the HTTP server is already listening");
    }
    auto result = openAcceptor(m_acceptor, endpoint);
    if (result) {
        m_limits = limits;
        m_handler = std::move(handler);
        startAccept();
    }
    return result;
}

void HttpServerCore::startAccept()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    m_acceptor.async_accept(
        [core = HttpServerCorePtr(this)](const auto &error, tcp::socket socket) {
            core->onAccept(error, std::move(socket));
        });
}

/// When the process has run out of file descriptors, every accept fails at once while the client
/// stays in the queue: without a delay the loop would spin until another connection ends.
void HttpServerCore::onAccept(const boost::system::error_code &error, tcp::socket socket)
{
    if (!m_acceptor.is_open()) {
        return;
    }
    if (error) {
        m_loop.callLater(ACCEPT_RETRY_DELAY,
                         [core = HttpServerCorePtr(this)] { core->startAccept(); });
        return;
    }
    addConnection(std::move(socket));
    startAccept();
}

void HttpServerCore::addConnection(tcp::socket socket)
{
    const bool isRefused = m_connectionCount >= m_limits.connections;
    if (isRefused && m_refusalCount >= MAX_REFUSALS) {
        return;
    }
    ++(isRefused ? m_refusalCount : m_connectionCount);
    const HttpConnectionPtr connection(
        new HttpConnection(this, TcpStreamPtr(new TcpStream(std::move(socket)))));
    m_connections.push_back(*connection);
    if (!isRefused) {
        connection->start();
        return;
    }
    m_loop.spawn([this, connection] {
        connection->refuse();
        --m_refusalCount;
    });
}

/// Closing the listener would reset the connections that are still in the accept queue.
void HttpServerCore::acceptPending()
{
    boost::system::error_code error;
    while (!error) {
        tcp::socket socket(m_loop.ioContext());
        m_acceptor.accept(socket, error);
        if (!error) {
            addConnection(std::move(socket));
        }
    }
}

/// A request may be in transit on a connection that appears idle; closing it at once would leave
/// the client without a response. So idle connections stay open for a grace period, in which a
/// request is answered with `Connection: close`.
void HttpServerCore::drain(Duration timeout)
{
    const HttpServerCorePtr self(this);
    m_isDraining = true;
    if (m_acceptor.is_open()) {
        acceptPending();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }
    const TimerId grace =
        m_loop.callLater(std::min(timeout / 2, DRAIN_GRACE), [this] { closeIdleConnections(); });
    const TimerId end = m_loop.callLater(timeout, [this] { m_drainWaiter.wake(); });
    if (m_connectionCount > 0) {
        m_drainWaiter.wait();
    }
    m_loop.cancelTimer(grace);
    m_loop.cancelTimer(end);
}

void HttpServerCore::closeIdleConnections()
{
    for (auto &connection : m_connections) {
        connection.closeIfIdle();
    }
}

void HttpServerCore::abort()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (auto &connection : m_connections) {
        connection.abort();
    }
}

void HttpServerCore::onConnectionDone()
{
    --m_connectionCount;
    if (m_isDraining && m_connectionCount == 0) {
        m_drainWaiter.wake();
    }
}

bool HttpServerCore::beginLinger()
{
    if (m_lingerCount >= MAX_LINGERING) {
        return false;
    }
    ++m_lingerCount;
    return true;
}

HttpServer::HttpServer(EventLoop &loop)
    : m_core(new HttpServerCore(loop))
{
}

HttpServer::~HttpServer()
{
    m_core->abort();
}

RetVal<Endpoint> HttpServer::listen(const Endpoint &endpoint, const HttpLimits &limits,
                                    HttpHandler handler)
{
    return m_core->listen(endpoint, limits, std::move(handler));
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_core->setLimits(limits);
}

void HttpServer::setConcurrencyTest(HttpConcurrencyTest test)
{
    m_core->setConcurrencyTest(std::move(test));
}

void HttpServer::disableKeepAlive()
{
    m_core->disableKeepAlive();
}

void HttpServer::drain(Duration timeout)
{
    m_core->drain(timeout);
}

std::size_t HttpServer::connectionCount() const
{
    return m_core->connectionCount();
}

PipelineStats HttpServer::pipelineStats() const
{
    return m_core->pipelines().stats();
}

std::unique_ptr<IHttpServer> makeHttpServer(IEventLoop &loop)
{
    return std::make_unique<HttpServer>(static_cast<EventLoop &>(loop));
}

} // namespace ivyspar
