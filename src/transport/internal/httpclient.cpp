#include "transport/internal/httpclient.h"

#include <algorithm>
#include <utility>

#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

/// Bytes that arrive on an idle connection stay in the kernel's buffer for this time at most.
constexpr Duration MAX_SWEEP_INTERVAL = std::chrono::seconds(1);

} // namespace

HttpClientCore::HttpClientCore(EventLoop &loop, const HttpClientLimits &limits)
    : m_loop(loop)
    , m_limits(limits)
{
}

HttpResult HttpClientCore::exchange(const Endpoint &endpoint, const HttpRequest &request,
                                    Duration timeout, const HttpCancellationPtr &cancellation)
{
    const HttpClientCorePtr self(this);
    HttpClientExchange exchange(*this, poolFor(endpoint), endpoint, request);
    m_exchanges.push_back(exchange);
    return exchange.run(timeout, cancellation);
}

HttpPoolPtr HttpClientCore::poolFor(const Endpoint &endpoint)
{
    HttpPoolPtr &pool = m_pools[endpoint];
    if (!pool) {
        pool = HttpPoolPtr(new HttpPool(m_limits.connectionsPerEndpoint));
    }
    return pool;
}

void HttpClientCore::setConnectionLimit(const Endpoint &endpoint, std::size_t connections)
{
    poolFor(endpoint)->setLimit(connections);
}

HttpPoolConnection HttpClientCore::makeConnection()
{
    HttpPoolConnection connection;
    connection.number = ++m_lastConnection;
    connection.stream =
        TcpStreamPtr(new TcpStream(boost::asio::ip::tcp::socket(m_loop.ioContext())));
    return connection;
}

Ret HttpClientCore::connect(const TcpStreamPtr &stream, const Endpoint &endpoint)
{
    const auto target = toTcpEndpoint(endpoint);
    if (!target) {
        return tl::unexpected<Error>(target.error());
    }
    const TimerId timer = m_loop.callLater(m_limits.connectTimeout, [&] { stream->close(); });
    const auto error = stream->connect(*target);
    m_loop.cancelTimer(timer);
    if (error) {
        return makeError(ErrorCode::Unavailable,
                         "cannot connect to " + endpoint.text() + ": " + error.message());
    }
    return {};
}

void HttpClientCore::preconnect(const Endpoint &endpoint, std::size_t connections)
{
    const HttpPoolPtr pool = poolFor(endpoint);
    for (std::size_t i = pool->idleCount(); i < connections && pool->reserve(); ++i) {
        m_loop.spawn(
            [core = HttpClientCorePtr(this), pool, endpoint] { core->openIdle(pool, endpoint); });
    }
}

bool HttpClientCore::isListening(const Endpoint &endpoint)
{
    const HttpClientCorePtr self(this);
    const HttpPoolPtr pool = poolFor(endpoint);
    return !pool->reserveInsteadOfIdle() || openIdle(pool, endpoint);
}

bool HttpClientCore::openIdle(const HttpPoolPtr &pool, const Endpoint &endpoint)
{
    HttpPoolConnection connection = makeConnection();
    if (!connect(connection.stream, endpoint)) {
        pool->discard(connection.stream);
        return false;
    }
    putIdle(pool, std::move(connection));
    return true;
}

void HttpClientCore::putIdle(const HttpPoolPtr &pool, HttpPoolConnection connection)
{
    if (m_isAborted) {
        pool->discard(connection.stream);
        return;
    }
    pool->putIdle(std::move(connection), m_loop.now());
    startSweep();
}

/// The sweep runs only while there are idle connections, so that an unused client causes no
/// wake-ups.
void HttpClientCore::startSweep()
{
    if (std::exchange(m_isSweeping, true)) {
        return;
    }
    const Duration interval = std::min<Duration>(m_limits.idleTimeout / 2, MAX_SWEEP_INTERVAL);
    m_loop.callLater(interval, [core = HttpClientCorePtr(this)] { core->sweep(); });
}

void HttpClientCore::sweep()
{
    m_isSweeping = false;
    bool hasIdle = false;
    const TimePoint oldest = m_loop.now() - m_limits.idleTimeout;
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        pool->second->closeIdleSince(oldest);
        pool->second->closeUnusable();
        hasIdle = hasIdle || pool->second->idleCount() > 0;
        pool = pool->second->isDisposable() ? m_pools.erase(pool) : std::next(pool);
    }
    if (hasIdle && !m_isAborted) {
        startSweep();
    }
}

void HttpClientCore::abort()
{
    m_isAborted = true;
    for (auto &exchange : m_exchanges) {
        exchange.abort(HttpFailureCause::Cancelled);
    }
    for (auto &entry : m_pools) {
        entry.second->closeIdleSince(TimePoint::max());
    }
}

HttpClient::HttpClient(EventLoop &loop, const HttpClientLimits &limits)
    : m_core(new HttpClientCore(loop, limits))
{
}

HttpClient::~HttpClient()
{
    m_core->abort();
}

HttpResult HttpClient::exchange(const Endpoint &endpoint, const HttpRequest &request,
                                Duration timeout, HttpCancellationPtr cancellation)
{
    return m_core->exchange(endpoint, request, timeout, cancellation);
}

bool HttpClient::isListening(const Endpoint &endpoint)
{
    return m_core->isListening(endpoint);
}

void HttpClient::setConnectionLimit(const Endpoint &endpoint, std::size_t connections)
{
    m_core->setConnectionLimit(endpoint, connections);
}

void HttpClient::preconnect(const Endpoint &endpoint, std::size_t connections)
{
    m_core->preconnect(endpoint, connections);
}

std::unique_ptr<IHttpClient> makeHttpClient(IEventLoop &loop, const HttpClientLimits &limits)
{
    return std::make_unique<HttpClient>(static_cast<EventLoop &>(loop), limits);
}

} // namespace ivyspar
