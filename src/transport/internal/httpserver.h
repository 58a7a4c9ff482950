#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "transport/ihttpserver.h"
#include "transport/internal/eventloop.h"
#include "transport/internal/fiberwaiter.h"
#include "transport/internal/httpconnection.h"
#include "transport/internal/pipelineledger.h"

namespace ivyspar {

/// State shared by the connections of a server. Lives until the last of their fibers has ended,
/// which may be after the server was destroyed.
class HttpServerCore
    : public boost::intrusive_ref_counter<HttpServerCore, boost::thread_unsafe_counter>
{
public:
    explicit HttpServerCore(EventLoop &loop);

    RetVal<Endpoint> listen(const Endpoint &endpoint, const HttpLimits &limits,
                            HttpHandler handler);
    void setLimits(const HttpLimits &limits) { m_limits = limits; }
    void setConcurrencyTest(HttpConcurrencyTest test) { m_concurrencyTest = std::move(test); }
    void disableKeepAlive() { m_isKeepAliveDisabled = true; }
    void drain(Duration timeout);
    /// Stops accepting and closes all connections at once.
    void abort();

    EventLoop &loop() { return m_loop; }
    const HttpLimits &limits() const { return m_limits; }
    const HttpHandler &handler() const { return m_handler; }
    bool isConcurrent(const HttpRequest &request) const
    {
        return m_concurrencyTest && m_concurrencyTest(request);
    }
    PipelineLedger &pipelines() { return m_pipelines; }
    bool closesConnections() const { return m_isKeepAliveDisabled || m_isDraining; }
    std::size_t connectionCount() const { return m_connectionCount; }
    /// Called when a connection has sent its last response or was closed.
    void onConnectionDone();
    /// Counts one more lingering connection; false if the limit is reached.
    bool beginLinger();
    void endLinger() { --m_lingerCount; }

private:
    friend class HttpConnection;
    using ConnectionList =
        boost::intrusive::list<HttpConnection, boost::intrusive::constant_time_size<false>>;

    void startAccept();
    void onAccept(const boost::system::error_code &error, boost::asio::ip::tcp::socket socket);
    void acceptPending();
    void addConnection(boost::asio::ip::tcp::socket socket);
    void closeIdleConnections();

    EventLoop &m_loop;
    HttpLimits m_limits;
    HttpHandler m_handler;
    HttpConcurrencyTest m_concurrencyTest;
    PipelineLedger m_pipelines;
    boost::asio::ip::tcp::acceptor m_acceptor;
    ConnectionList m_connections;
    /// Connections being served; the list also contains refused and lingering ones.
    std::size_t m_connectionCount = 0;
    std::size_t m_refusalCount = 0;
    std::size_t m_lingerCount = 0;
    bool m_isKeepAliveDisabled = false;
    bool m_isDraining = false;
    FiberWaiter m_drainWaiter;
};
using HttpServerCorePtr = boost::intrusive_ptr<HttpServerCore>;

class HttpServer : public IHttpServer
{
public:
    explicit HttpServer(EventLoop &loop);
    ~HttpServer() override;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    RetVal<Endpoint> listen(const Endpoint &endpoint, const HttpLimits &limits,
                            HttpHandler handler) override;
    void setLimits(const HttpLimits &limits) override;
    void setConcurrencyTest(HttpConcurrencyTest test) override;
    void disableKeepAlive() override;
    void drain(Duration timeout) override;
    std::size_t connectionCount() const override;
    PipelineStats pipelineStats() const override;

private:
    HttpServerCorePtr m_core;
};

} // namespace ivyspar
