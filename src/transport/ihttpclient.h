#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "coordination/memory/ibodybudget.h"
#include "state/endpoint.h"
#include "state/http.h"
#include "state/result.h"
#include "state/time.h"

namespace ivyspar {

enum class HttpFailureStage {
    NotSent, ///< Proves that no byte of the request was sent.
    MaybeSent, ///< Part of the request was sent; the server may have processed it.
};

enum class HttpFailureCause {
    Connect,
    Timeout,
    Cancelled,
    Broken, ///< The connection closed, or the response was truncated or malformed.
    NoConnection, ///< The connection limit of this endpoint is reached.
    NoRoom, ///< The response did not fit into the memory for bodies.
};

struct HttpFailure
{
    HttpFailureStage stage = HttpFailureStage::MaybeSent;
    HttpFailureCause cause = HttpFailureCause::Broken;
    std::string text;
    /// The server closed the connection before the response was complete.
    bool hasConnectionEnded = false;
};

/// How a request was sent and what was received for it, for logs. Of the last connection that was
/// tried.
struct HttpSendReport
{
    /// Number of the connection at this client, from 1; 0 if there was none.
    std::uint64_t connection = 0;
    /// Requests that the connection had carried before.
    std::size_t earlierRequests = 0;
    /// Bytes of the request that the kernel accepted.
    std::size_t sentBytes = 0;
    /// Interim (1xx) responses that preceded the final one.
    std::size_t interimResponses = 0;
    /// Responses to other requests, which were discarded.
    std::size_t foreignResponses = 0;
    /// The response had no length and ended with its connection.
    bool hasEndedByClose = false;
};

/// The response, or why there is none.
struct HttpResult : tl::expected<HttpResponse, HttpFailure>
{
    using tl::expected<HttpResponse, HttpFailure>::expected;

    HttpSendReport send;
};

/// Cancels one exchange: its connection is closed and it fails with `Cancelled`.
class HttpCancellation
    : public boost::intrusive_ref_counter<HttpCancellation, boost::thread_unsafe_counter>
{
public:
    void cancel();
    bool isCancelled() const { return m_isCancelled; }
    /// For the client: sets the function that `cancel` runs. An empty function removes it.
    void setAction(std::function<void()> action);

private:
    bool m_isCancelled = false;
    std::function<void()> m_action;
};
using HttpCancellationPtr = boost::intrusive_ptr<HttpCancellation>;

struct HttpClientLimits
{
    /// Connections to one endpoint, open or opening.
    std::size_t connectionsPerEndpoint = 64;
    std::size_t headerBytes = 64 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    /// Counts the responses. May be null.
    BodyBudgetPtr bodyBudget;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Name of a header that servers echo from the request. A response with a different value
    /// belongs to another request and is discarded. A request that is sent again with the same
    /// value gets another connection, as a late copy of an earlier response to it cannot be told
    /// apart. A response without the header is accepted only where it can belong to no other
    /// request; its connection is not reused. Empty: responses are not checked.
    std::string echoHeader;
    /// Reuses a connection after a 503. Without an echo header a late copy of it would be taken for
    /// a rejection of the next request.
    bool reusesAfterUnavailable = true;
    /// Accepts a response without a length if the server has received the whole request and has
    /// ended the connection in order. Otherwise such a response is an error. A server that crashes
    /// ends its connections in the same way, see `HttpSendReport::hasEndedByClose`.
    bool acceptsUnframedResponses = false;
    /// An idle connection is closed after this time.
    Duration idleTimeout = std::chrono::seconds(30);
};

/// Keeps connections open for reuse. A reused connection that the server has closed before a byte
/// was written is replaced by a new one.
class IHttpClient
{
public:
    virtual ~IHttpClient() = default;

    /// Suspends the calling fiber for `timeout` at most. `cancellation` may be null.
    virtual HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request,
                                Duration timeout, HttpCancellationPtr cancellation) = 0;
    /// Whether a server currently accepts connections at `endpoint`. Suspends the calling fiber for
    /// the connect timeout at most. The connection is kept for reuse. Also true if all
    /// connections of the limit are in use.
    virtual bool isListening(const Endpoint &endpoint) = 0;
    virtual void setConnectionLimit(const Endpoint &endpoint, std::size_t connections) = 0;
    /// Opens connections in advance, up to `connections` idle ones.
    virtual void preconnect(const Endpoint &endpoint, std::size_t connections) = 0;
};

} // namespace ivyspar
