#pragma once

#include <functional>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/keyedcursor.h"
#include "coordination/configuration/ifreshness.h"

namespace ivyspar {

/// What a read of the log brought.
struct DocumentRead
{
    RetVal<KeyedPage> page;
    TimePoint startedAt;
    Duration took{ 0 };
};

/// Reads the log without waiting whenever what this daemon knows of it becomes too old.
class DocumentCheck
{
public:
    using OnRead = std::function<void(const DocumentRead &)>;

    /// All references outlive the object. `onRead` runs in the fiber and must not suspend.
    DocumentCheck(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                  const IFreshness &freshness, OnRead onRead);

    void start();
    /// Suspends until its fiber has ended.
    void stop();
    /// What is known became older than it seemed.
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
