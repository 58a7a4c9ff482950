#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "coordination/memory/ibodybudget.h"
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
    /// Maximum number of unanswered requests of a connection that are handled at a time; 1: one
    /// after the other. Further ones also need an `HttpConcurrencyTest`.
    std::size_t pipelinedRequests = 1;
    /// Bounds on the bytes held for requests that are handled before their turn: the requests, and
    /// their responses until those before them are sent. Reaching one delays further requests.
    std::size_t pipelinedConnectionBytes = 1024 * 1024;
    std::size_t pipelinedServerBytes = 16 * 1024 * 1024;
    /// Counts the requests. A request that has no room gets 503 before it is handled. May be null.
    BodyBudgetPtr bodyBudget;
};

/// Figures about requests that clients send before earlier ones of their connection are answered.
struct PipelineStats
{
    /// Requests that were started before their turn and are not answered yet.
    std::size_t inProgress = 0;
    /// Bytes held for them, including room reserved for their responses.
    std::size_t bytes = 0;
    /// Requests that were started before their turn, since the server's start; so are the next.
    std::uint64_t started = 0;
    /// Their responses that had to wait for an earlier one.
    std::uint64_t waitedForTurn = 0;
    /// Requests that waited because they, or those before them, run only alone.
    std::uint64_t waitedForOrder = 0;
    /// Requests that waited because a limit was reached.
    std::uint64_t waitedForLimit = 0;
};

/// Why a response did not reach its client whole.
enum class DeliveryFailure {
    ClientGone,
    ClientTooSlow, ///< It did not read the response in time.
    EarlierResponse, ///< One of the same connection could not be sent.
    ServerStopped,
    Exception,
};

const char *toText(DeliveryFailure failure);

/// One request while its handler processes it.
class IHttpExchange
{
public:
    virtual ~IHttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// How long the request lay unread at least, because requests before it were not answered.
    virtual Duration waited() const = 0;
    /// Stored per connection and shared by the handlers of its requests.
    virtual ConnectionTally &tally() = 0;
    /// Runs `callback` once if the client disconnects before its response is ready.
    /// Each call replaces the previous callback; an empty function removes it.
    virtual void onDisconnect(std::function<void()> callback) = 0;
    /// Runs `callback` once if the connection ends before the response was sent whole. It may run
    /// after the handler has returned.
    virtual void onUndelivered(std::function<void(DeliveryFailure)> callback) = 0;
};

/// Runs in a fiber and may suspend.
using HttpHandler = std::function<HttpResponse(IHttpExchange &)>;
/// Returns whether a request may be handled together with others of its connection, and be
/// abandoned when an earlier response closes the connection.
using HttpConcurrencyTest = std::function<bool(const HttpRequest &)>;

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
    /// Without a test, requests of a connection are handled one after the other.
    virtual void setConcurrencyTest(HttpConcurrencyTest test) = 0;
    /// Every further response closes its connection, so that clients send their next request
    /// elsewhere; new connections are still accepted.
    virtual void disableKeepAlive() = 0;
    /// Graceful shutdown: stops accepting, closes idle connections and answers the requests in
    /// progress with `Connection: close`. Suspends until all are done or `timeout` has passed.
    virtual void drain(Duration timeout) = 0;
    /// Connections being served, without refused and lingering ones.
    virtual std::size_t connectionCount() const = 0;
    virtual PipelineStats pipelineStats() const = 0;
};

} // namespace ivyspar
