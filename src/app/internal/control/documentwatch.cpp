#include "app/internal/control/documentwatch.h"

#include <utility>

namespace ivyspar {

namespace {

/// Pause while the watch is not needed; `wake` ends it early.
constexpr Duration IDLE_PAUSE = std::chrono::seconds(60);

} // namespace

DocumentWatch::DocumentWatch(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                             Duration longPollTimeout, Duration retryInterval, IsNeeded isNeeded,
                             OnRead onRead)
    : m_loop(loop)
    , m_log(log)
    , m_longPollTimeout(longPollTimeout)
    , m_retryInterval(retryInterval)
    , m_isNeeded(std::move(isNeeded))
    , m_onRead(std::move(onRead))
    , m_fiber(loop)
    , m_cursor(log, stream)
{
}

void DocumentWatch::start()
{
    m_fiber.start([this] { follow(); });
}

void DocumentWatch::stop()
{
    m_fiber.stop([this] { m_log.cancel(); });
}

void DocumentWatch::restart()
{
    if (m_isReading) {
        m_log.cancel();
        return;
    }
    m_fiber.wake();
}

void DocumentWatch::wakeIfNeeded()
{
    if (m_isIdle && m_isNeeded()) {
        m_fiber.wake();
    }
}

void DocumentWatch::follow()
{
    m_isReading = false;
    m_isIdle = false;
    while (!m_fiber.isStopped()) {
        // DocumentPoller reads the newest records first and then sets the offset of this cursor.
        if (!m_cursor.next() || !m_isNeeded()) {
            m_isIdle = true;
            m_fiber.pause(IDLE_PAUSE);
            m_isIdle = false;
            continue;
        }
        const TimePoint startedAt = m_loop.now();
        m_isReading = true;
        const RetVal<KeyedPage> page = m_cursor.read(m_longPollTimeout);
        m_isReading = false;
        if (m_fiber.isStopped()) {
            return;
        }
        const bool isCancelled = !page && page.error().code == ErrorCode::Cancelled;
        if (isCancelled) {
            continue;
        }
        const auto took = std::chrono::duration_cast<Duration>(m_loop.now() - startedAt);
        m_onRead(DocumentRead{ page, startedAt, took });
        const bool returnedEarly = page && page->records.empty() && took < m_longPollTimeout / 2;
        if (!page || returnedEarly) {
            m_fiber.pause(m_retryInterval);
        }
    }
}

} // namespace ivyspar
