#pragma once

#include <map>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "transport/ihttpclient.h"
#include "transport/internal/eventloop.h"
#include "transport/internal/httpclientexchange.h"
#include "transport/internal/httppool.h"

namespace ivyspar {

/// State shared by the exchanges of a client. Lives until the last of them has ended, which may be
/// after the client was destroyed.
class HttpClientCore
    : public boost::intrusive_ref_counter<HttpClientCore, boost::thread_unsafe_counter>
{
public:
    HttpClientCore(EventLoop &loop, const HttpClientLimits &limits);

    EventLoop &loop() { return m_loop; }
    const HttpClientLimits &limits() const { return m_limits; }

    HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout,
                        const HttpCancellationPtr &cancellation);
    bool isListening(const Endpoint &endpoint);
    void setConnectionLimit(const Endpoint &endpoint, std::size_t connections);
    void preconnect(const Endpoint &endpoint, std::size_t connections);
    /// Cancels all exchanges and closes the idle connections.
    void abort();

    /// Connects `stream` within the connect timeout; suspends the calling fiber.
    Ret connect(const TcpStreamPtr &stream, const Endpoint &endpoint);
    /// A connection that is not connected yet.
    HttpPoolConnection makeConnection();
    void putIdle(const HttpPoolPtr &pool, HttpPoolConnection connection);

private:
    HttpPoolPtr poolFor(const Endpoint &endpoint);
    /// Opens a reserved connection and adds it to the pool as idle. False if it cannot be opened.
    bool openIdle(const HttpPoolPtr &pool, const Endpoint &endpoint);
    void startSweep();
    void sweep();

    EventLoop &m_loop;
    HttpClientLimits m_limits;
    std::map<Endpoint, HttpPoolPtr> m_pools;
    boost::intrusive::list<HttpClientExchange, boost::intrusive::constant_time_size<false>>
        m_exchanges;
    std::uint64_t m_lastConnection = 0;
    bool m_isSweeping = false;
    bool m_isAborted = false;
};
using HttpClientCorePtr = boost::intrusive_ptr<HttpClientCore>;

class HttpClient : public IHttpClient
{
public:
    HttpClient(EventLoop &loop, const HttpClientLimits &limits);
    ~HttpClient() override;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout,
                        HttpCancellationPtr cancellation) override;
    bool isListening(const Endpoint &endpoint) override;
    void setConnectionLimit(const Endpoint &endpoint, std::size_t connections) override;
    void preconnect(const Endpoint &endpoint, std::size_t connections) override;

private:
    HttpClientCorePtr m_core;
};

} // namespace ivyspar
