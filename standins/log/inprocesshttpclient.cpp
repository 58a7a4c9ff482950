#include "standins/log/inprocesshttpclient.h"

#include <memory>
#include <utility>

namespace ivyspar::lab {

namespace {

/// Lives until both the client's wait and the handler's fiber have ended.
struct Exchange : IHttpExchange
{
    Exchange(IEventLoop &loop, const HttpRequest &request)
        : m_request(request)
        , m_response(loop)
    {
    }

    const HttpRequest &request() const override { return m_request; }
    Duration waited() const override { return Duration::zero(); }
    ConnectionTally &tally() override { return m_tally; }
    void onUndelivered(std::function<void(DeliveryFailure)> /*callback*/) override { }
    void onDisconnect(std::function<void()> callback) override
    {
        m_onDisconnect = std::move(callback);
        if (m_isDisconnected) {
            notifyDisconnect();
        }
    }
    void disconnect()
    {
        m_isDisconnected = true;
        notifyDisconnect();
    }
    void notifyDisconnect()
    {
        if (const auto callback = std::exchange(m_onDisconnect, {})) {
            callback();
        }
    }

    HttpRequest m_request;
    ConnectionTally m_tally;
    std::function<void()> m_onDisconnect;
    bool m_isDisconnected = false;
    /// Nothing when the exchange was cancelled.
    OneShot<std::optional<HttpResponse>> m_response;
};

} // namespace

HttpResult InProcessHttpClient::exchange(const Endpoint & /*endpoint*/, const HttpRequest &request,
                                         Duration timeout, HttpCancellationPtr cancellation)
{
    if (m_isCut) {
        return tl::unexpected<HttpFailure>(
            HttpFailure{ HttpFailureStage::NotSent, HttpFailureCause::Connect, "cut off" });
    }
    const auto exchange = std::make_shared<Exchange>(m_loop, request);
    m_loop.spawn([exchange, handler = m_handler] { exchange->m_response.set(handler(*exchange)); });
    if (cancellation) {
        cancellation->setAction([exchange] { exchange->m_response.set(std::nullopt); });
    }
    std::optional<std::optional<HttpResponse>> response = exchange->m_response.wait(timeout);
    if (cancellation) {
        cancellation->setAction({});
    }
    if (response && *response) {
        return std::move(**response);
    }
    exchange->disconnect();
    const auto cause = response ? HttpFailureCause::Cancelled : HttpFailureCause::Timeout;
    return tl::unexpected<HttpFailure>(
        HttpFailure{ HttpFailureStage::MaybeSent, cause, "no answer" });
}

} // namespace ivyspar::lab
