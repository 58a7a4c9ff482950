#include "app/internal/control/documentpoller.h"

#include <utility>

namespace ivyspar {

DocumentPoller::DocumentPoller(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                               const IFreshness &freshness, OnRead onRead)
    : m_loop(loop)
    , m_log(log)
    , m_freshness(freshness)
    , m_onRead(std::move(onRead))
    , m_fiber(loop)
    , m_cursor(log, stream)
{
}

void DocumentPoller::start()
{
    m_fiber.start([this] { follow(); });
}

void DocumentPoller::stop()
{
    m_fiber.stop([this] { m_log.cancel(); });
}

void DocumentPoller::follow()
{
    while (!m_fiber.isStopped()) {
        const auto left =
            std::chrono::duration_cast<Duration>(m_freshness.nextRead() - m_loop.now());
        if (left > Duration::zero()) {
            m_fiber.pause(left);
            continue;
        }
        const TimePoint startedAt = m_loop.now();
        const RetVal<KeyedPage> page = m_cursor.read(Duration::zero());
        if (!m_fiber.isStopped()) {
            const auto took = std::chrono::duration_cast<Duration>(m_loop.now() - startedAt);
            m_onRead(DocumentRead{ page, startedAt, took });
        }
    }
}

} // namespace ivyspar
