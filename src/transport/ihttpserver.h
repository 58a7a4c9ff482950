#pragma once

#include <cstddef>
#include <functional>

#include "state/connectiontally.h"
#include "state/endpoint.h"
#include "state/http.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

/// Limits on client input. A client that exceeds them gets 413, 431, 408 or 503, or is
/// disconnected.
struct HttpLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4000;
    /// Maximum time to receive a complete request, counted from its first byte.
    Duration receiveTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
    /// Maximum time for a client to receive a response.
    Duration sendTimeout = std::chrono::seconds(10);
};

/// One request while its handler processes it.
class IHttpExchange
{
public:
    virtual ~IHttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// Stored per connection and shared by the handlers of its requests.
    virtual ConnectionTally &tally() = 0;
    /// Runs `callback` once if the client disconnects before its response is ready.
    /// Each call replaces the previous callback; an empty function removes it.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/// Runs in the connection's fiber and may suspend.
using HttpHandler = std::function<HttpResponse(IHttpExchange &)>;

class IHttpServer
{
public:
    virtual ~IHttpServer() = default;

    /// Starts accepting; port 0 selects a free port. Returns the endpoint that it listens on.
    /// `Conflict` if already listening, `InvalidArgument` for a non-IP address, else `Unavailable`.
    virtual RetVal<Endpoint> listen(const Endpoint &endpoint, const HttpLimits &limits,
                                    HttpHandler handler) = 0;
    /// Applies to new connections and to further requests on existing ones.
    virtual void setLimits(const HttpLimits &limits) = 0;
    /// Every further response closes its connection, so that clients send their next request
    /// elsewhere; new connections are still accepted.
    virtual void disableKeepAlive() = 0;
    /// Graceful shutdown: stops accepting, closes idle connections and answers the requests in
    /// progress with `Connection: close`. Suspends until all are done or `timeout` has passed.
    virtual void drain(Duration timeout) = 0;
    /// Connections being served, without refused and lingering ones.
    virtual std::size_t connectionCount() const = 0;
};

} // namespace ivyspar
