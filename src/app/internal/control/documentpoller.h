#pragma once

#include <functional>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/keyedcursor.h"
#include "coordination/configuration/ifreshness.h"

namespace ivyspar {

/// Result of a read of the log.
struct DocumentRead
{
    RetVal<KeyedPage> page;
    TimePoint startedAt;
    Duration took{ 0 };
};

/// Polls the log, without a long poll, whenever the last confirmation becomes too old.
class DocumentPoller
{
public:
    using OnRead = std::function<void(const DocumentRead &)>;

    /// All references outlive the object. `onRead` runs in the fiber and must not suspend.
    DocumentPoller(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                   const IFreshness &freshness, OnRead onRead);

    void start();
    /// Suspends until the fiber has ended.
    void stop();
    /// Re-evaluates when the next read is due, after the confirmation was expired.
    void wake() { m_fiber.wake(); }
    KeyedCursor &cursor() { return m_cursor; }
    const KeyedCursor &cursor() const { return m_cursor; }

private:
    void follow();

    IEventLoop &m_loop;
    IKeyedLog &m_log;
    const IFreshness &m_freshness;
    OnRead m_onRead;
    BackgroundFiber m_fiber;
    KeyedCursor m_cursor;
};

} // namespace ivyspar
