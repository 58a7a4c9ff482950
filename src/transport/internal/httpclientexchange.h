#pragma once

#include <optional>
#include <string>

#include <boost/intrusive/list_hook.hpp>

#include "transport/ihttpclient.h"
#include "transport/internal/httppool.h"
#include "transport/internal/tcpstream.h"

namespace ivyspar {

class HttpClientCore;
class HttpResponseParser;

/// One request and its response; lives on the stack of the calling fiber.
class HttpClientExchange : public boost::intrusive::list_base_hook<
                               boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    HttpClientExchange(HttpClientCore &client, HttpPoolPtr pool, const Endpoint &endpoint,
                       const HttpRequest &request);

    HttpResult run(Duration timeout, const HttpCancellationPtr &cancellation);
    /// Makes the exchange fail with `cause` by closing its connection.
    void abort(HttpFailureCause cause);

private:
    enum class ResponseOrigin {
        ThisRequest,
        OtherRequest, ///< Echoes the value of another request.
        Unidentified, ///< Echoes no value.
    };

    HttpResult runUnreported(Duration timeout, const HttpCancellationPtr &cancellation);
    HttpResult runWithTimeout(Duration timeout);
    HttpResult runOnConnection();
    HttpResult runOnNewConnection();
    HttpResult sendAndReceive();
    /// `isFirst`: the connection has carried no earlier request.
    HttpResult receive(bool isFirst);
    HttpResult receiveFinal();
    /// A failure counts as of this request.
    ResponseOrigin originOf(const HttpResult &result) const;
    /// One response, which may be an interim (1xx) one. Sets `m_isReusable`.
    HttpResult receiveOne();
    BodyChargePtr openCharge();
    bool canRetryOnNewConnection(const HttpResult &result) const;
    HttpResult fail(HttpFailureCause cause, std::string text) const;
    /// Takes the connection for the next send and starts the report of it.
    void useConnection(HttpPoolConnection connection);
    void releaseConnection();

    HttpClientCore &m_client;
    HttpPoolPtr m_pool;
    const Endpoint &m_endpoint;
    const HttpRequest &m_request;
    std::string m_head;
    /// Value of the request's header that servers echo; empty if it has none.
    std::string m_echo;
    /// The request is not sent again after this time.
    TimePoint m_end;
    HttpPoolConnection m_connection;
    std::optional<HttpFailureCause> m_abortCause;
    HttpSendReport m_send;
    std::size_t m_receivedResponses = 0;
    /// The kernel has accepted the whole request.
    bool m_isSentWhole = false;
    bool m_isReusable = false;
    bool m_hasConnectionEnded = false;
};

} // namespace ivyspar
