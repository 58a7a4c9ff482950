#include "standins/upstream/crashinglistener.h"

#include <utility>

#include "transport/transportfactory.h"

namespace ivyspar::lab {

CrashingListener::CrashingListener(IEventLoop &loop)
    : m_loop(loop)
    , m_server(makeHttpServer(loop))
{
}

CrashingListener::~CrashingListener()
{
    m_loop.cancelTimer(m_timer);
}

RetVal<Endpoint> CrashingListener::listen(const Endpoint &endpoint, const HttpLimits &limits,
                                          HttpHandler handler)
{
    m_limits = limits;
    m_handler = std::move(handler);
    auto bound = m_server->listen(endpoint, limits, m_handler);
    if (bound) {
        m_endpoint = *bound;
    }
    return bound;
}

void CrashingListener::stop(Duration timeout)
{
    m_isStopped = true;
    m_loop.cancelTimer(m_timer);
    if (m_server) {
        m_server->drain(timeout);
    }
}

void CrashingListener::crash(Duration downTime)
{
    if (m_isDown || m_isStopped) {
        return;
    }
    m_isDown = true;
    ++m_crashCount;
    m_server.reset();
    m_timer = m_loop.callLater(downTime, [this] { comeBack(); });
}

void CrashingListener::comeBack()
{
    m_server = makeHttpServer(m_loop);
    // Another process may have taken the port meanwhile: then it is tried again later.
    constexpr Duration RETRY_DELAY = std::chrono::milliseconds(100);
    if (!m_server->listen(m_endpoint, m_limits, m_handler)) {
        m_timer = m_loop.callLater(RETRY_DELAY, [this] { comeBack(); });
        return;
    }
    m_isDown = false;
}

} // namespace ivyspar::lab
