#pragma once

#include <cstddef>
#include <functional>

#include "state/connectiontally.h"
#include "state/endpoint.h"
#include "state/http.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// Bounds on what a client may send. Past them it gets 413, 431, 408 or 503, or is disconnected.
struct HttpLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4000;
    /// Longest time for the arrival of a whole request once its first byte is there.
    Duration receiveTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
    /// Longest time for a client to take an answer.
    Duration sendTimeout = std::chrono::seconds(10);
};

/// One request while its handler works on it.
class IHttpExchange
{
public:
    virtual ~IHttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// Kept with the connection, for the handlers of its requests.
    virtual ConnectionTally &tally() = 0;
    /// Runs `callback` once when the client goes away before its answer was ready.
    /// Replaced by each call; an empty function removes it.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/// Runs in the connection's fiber and may suspend.
using HttpHandler = std::function<HttpResponse(IHttpExchange &)>;

class IHttpServer
{
public:
    virtual ~IHttpServer() = default;

    /// Starts to accept; port 0 takes a free one. Returns the endpoint that it listens on.
    virtual RetVal<Endpoint> listen(const Endpoint &endpoint, const HttpLimits &limits,
                                    HttpHandler handler) = 0;
    /// Connections opened from now on, and the next requests of the others, are bound by these.
    virtual void setLimits(const HttpLimits &limits) = 0;
    /// From now on each answer ends its connection, so that clients go elsewhere with their next
    /// request; new connections are still taken.
    virtual void disableKeepAlive() = 0;
    /// Graceful stop: accepts no more, ends idle connections, answers what is being worked on with
    /// `Connection: close`. Suspends until all are done or `timeout` is over.
    virtual void drain(Duration timeout) = 0;
    virtual std::size_t connectionCount() const = 0;
};

} // namespace ivyspar
