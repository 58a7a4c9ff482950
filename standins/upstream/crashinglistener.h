#pragma once

#include <memory>

#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

namespace ivyspar::lab {

/// The listening side of a stand-in server, which can crash as a process does: all connections end
/// at once, and nothing listens until it is started again at the same endpoint.
class CrashingListener
{
public:
    explicit CrashingListener(IEventLoop &loop);
    ~CrashingListener();

    RetVal<Endpoint> listen(const Endpoint &endpoint, const HttpLimits &limits,
                            HttpHandler handler);
    /// Graceful stop; it is not started again.
    void stop(Duration timeout);
    /// Ends now and comes back after `downTime`. Nothing happens while it is down. Not to be called
    /// by a handler: that runs on a connection which ends.
    void crash(Duration downTime);
    bool isDown() const { return m_isDown; }
    std::uint32_t crashCount() const { return m_crashCount; }

private:
    void comeBack();

    IEventLoop &m_loop;
    std::unique_ptr<IHttpServer> m_server;
    Endpoint m_endpoint;
    HttpLimits m_limits;
    HttpHandler m_handler;
    TimerId m_timer;
    std::uint32_t m_crashCount = 0;
    bool m_isDown = false;
    bool m_isStopped = false;
};

} // namespace ivyspar::lab
