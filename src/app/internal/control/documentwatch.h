#pragma once

#include <functional>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/documentcheck.h"
#include "app/internal/control/keyedcursor.h"

namespace ivyspar {

/// Waits at the log for news while this daemon is one of those that do. It is for speed alone: a
/// connection that goes silent is noticed late, and DocumentCheck bounds how late news may come.
class DocumentWatch
{
public:
    using IsNeeded = std::function<bool()>;
    using OnRead = std::function<void(const DocumentRead &)>;

    /// All references outlive the object. `onRead` runs in the fiber and must not suspend. After a
    /// read that failed, or that the log did not hold back, the next one begins after `retry`, or
    /// with `restart`.
    DocumentWatch(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                  Duration longPollTimeout, Duration retryInterval, IsNeeded isNeeded,
                  OnRead onRead);

    void start();
    /// Suspends until its fiber has ended.
    void stop();
    /// Whether it is needed may have changed.
    void wakeIfNeeded();
    /// Gives up the read that waits now, whose connection may be silent, and reads anew.
    void restart();
    KeyedCursor &cursor() { return m_cursor; }

private:
    void follow();

    IEventLoop &m_loop;
    IKeyedLog &m_log;
    Duration m_longPollTimeout;
    Duration m_retryInterval;
    IsNeeded m_isNeeded;
    OnRead m_onRead;
    BackgroundFiber m_fiber;
    KeyedCursor m_cursor;
    bool m_isReading = false;
    bool m_isIdle = false;
};

} // namespace ivyspar
