#include "transport/internal/httpexchange.h"

#include <utility>

namespace ivyspar {

namespace {

std::size_t bytesOf(const std::vector<HttpHeader> &headers)
{
    std::size_t bytes = headers.size() * sizeof(HttpHeader);
    for (const HttpHeader &header : headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

const char *toText(DeliveryFailure failure)
{
    switch (failure) {
    case DeliveryFailure::ClientGone:
        return "client-gone";
    case DeliveryFailure::ClientTooSlow:
        return "client-too-slow";
    case DeliveryFailure::EarlierResponse:
        return "earlier-response";
    case DeliveryFailure::ServerStopped:
        return "stopped";
    case DeliveryFailure::Exception:
        return "exception";
    }
    return "unknown";
}

HttpExchange::HttpExchange(ReceivedRequest received, ConnectionTally &tally)
    : m_received(std::move(received))
    , m_tally(tally)
{
}

void HttpExchange::onDisconnect(std::function<void()> callback)
{
    m_onDisconnect = std::move(callback);
    if (m_isDisconnected) {
        notifyDisconnect();
    }
}

void HttpExchange::notifyDisconnect()
{
    m_isDisconnected = true;
    if (const auto callback = std::exchange(m_onDisconnect, {})) {
        callback();
    }
}

void HttpExchange::onUndelivered(std::function<void(DeliveryFailure)> callback)
{
    m_onUndelivered = std::move(callback);
}

void HttpExchange::notifyUndelivered(DeliveryFailure failure)
{
    if (const auto callback = std::exchange(m_onUndelivered, {})) {
        callback(failure);
    }
}

void HttpExchange::dropCallbacks()
{
    m_onDisconnect = {};
    m_onUndelivered = {};
}

void HttpExchange::finish(HttpResponse response)
{
    m_response = std::move(response);
    m_onDisconnect = {};
    m_received.request = {};
}

std::size_t bytesOf(const HttpRequest &request)
{
    return sizeof(HttpExchange) + request.method.size() + request.target.size()
        + request.body.size() + bytesOf(request.headers);
}

std::size_t bytesOf(const HttpResponse &response)
{
    return sizeof(HttpExchange) + response.body.size() + bytesOf(response.headers);
}

} // namespace ivyspar
