#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "transport/ihttpserver.h"
#include "transport/internal/httprequestreader.h"

namespace ivyspar {

/// A request of a connection, from its start until its response is sent.
class HttpExchange : public IHttpExchange
{
public:
    HttpExchange(ReceivedRequest received, ConnectionTally &tally);

    // IHttpExchange
    const HttpRequest &request() const override { return m_received.request; }
    Duration waited() const override { return m_received.waited; }
    ConnectionTally &tally() override { return m_tally; }
    void onDisconnect(std::function<void()> callback) override;
    void onUndelivered(std::function<void(DeliveryFailure)> callback) override;

    /// Runs the callback; later ones run as soon as they are set.
    void notifyDisconnect();
    void notifyUndelivered(DeliveryFailure failure);
    void dropCallbacks();

    /// Sets the response and releases the request.
    void finish(HttpResponse response);
    bool isFinished() const { return m_response.has_value(); }
    const HttpResponse &response() const { return *m_response; }
    const ResponseFraming &framing() const { return m_received.framing; }
    /// The response is to close the connection.
    void closeConnection() { m_received.framing.isKeepAlive = false; }

    /// Whether it may run together with others of its connection, if that is known.
    std::optional<bool> isConcurrent() const { return m_isConcurrent; }
    void setConcurrent(bool isConcurrent) { m_isConcurrent = isConcurrent; }

private:
    ReceivedRequest m_received;
    ConnectionTally &m_tally;
    std::function<void()> m_onDisconnect;
    std::function<void(DeliveryFailure)> m_onUndelivered;
    std::optional<HttpResponse> m_response;
    std::optional<bool> m_isConcurrent;
    bool m_isDisconnected = false;
};

/// Memory that a message takes, about.
std::size_t bytesOf(const HttpRequest &request);
std::size_t bytesOf(const HttpResponse &response);

} // namespace ivyspar
