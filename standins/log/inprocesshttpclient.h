#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/oneshot.h"

namespace ivyspar::lab {

/// Hands requests to a handler of the same process, on the same loop, each in a fiber of its own.
/// For tests and measurements of what lies above HTTP.
class InProcessHttpClient : public IHttpClient
{
public:
    InProcessHttpClient(IEventLoop &loop, HttpHandler handler)
        : m_loop(loop)
        , m_handler(std::move(handler))
    {
    }

    HttpResult exchange(const Endpoint &endpoint, const HttpRequest &request, Duration timeout,
                        HttpCancellationPtr cancellation) override;
    bool isListening(const Endpoint & /*endpoint*/) override { return true; }
    void setConnectionLimit(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }
    void preconnect(const Endpoint & /*endpoint*/, std::size_t /*connections*/) override { }

    /// Fails all exchanges before they begin, as if the host were cut off.
    void setCut(bool isCut) { m_isCut = isCut; }

private:
    IEventLoop &m_loop;
    HttpHandler m_handler;
    bool m_isCut = false;
};

} // namespace ivyspar::lab
