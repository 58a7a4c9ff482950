#include "app/internal/control/documentwatch.h"

#include <utility>

namespace ivyspar {

namespace {

/// `wake` ends it early.
constexpr Duration UNTIL_NEEDED = std::chrono::seconds(60);

} // namespace

DocumentWatch::DocumentWatch(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                             Duration wait, Duration retry, IsNeeded isNeeded, OnRead onRead)
    : m_loop(loop)
    , m_log(log)
    , m_wait(wait)
    , m_retry(retry)
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

void DocumentWatch::checkDuty()
{
    if (m_isOffDuty && m_isNeeded()) {
        m_fiber.wake();
    }
}

void DocumentWatch::follow()
{
    while (!m_fiber.isStopped()) {
        // The check reads what stands there first.
        if (!m_cursor.next() || !m_isNeeded()) {
            m_isOffDuty = true;
            m_fiber.pause(UNTIL_NEEDED);
            m_isOffDuty = false;
            continue;
        }
        const TimePoint startedAt = m_loop.now();
        m_isReading = true;
        const RetVal<KeyedPage> page = m_cursor.read(m_wait);
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
        const bool isCutShort = page && page->records.empty() && took < m_wait / 2;
        if (!page || isCutShort) {
            m_fiber.pause(m_retry);
        }
    }
}

} // namespace ivyspar
