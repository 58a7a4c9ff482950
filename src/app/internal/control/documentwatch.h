#pragma once

#include <functional>

#include "app/internal/control/backgroundfiber.h"
#include "app/internal/control/documentpoller.h"
#include "app/internal/control/keyedcursor.h"

namespace ivyspar {

/// Long-polls the log while this daemon is one of the readers. It only shortens the delay of new
/// versions: a connection that goes silent is noticed late, and DocumentPoller bounds the delay.
class DocumentWatch
{
public:
    using IsNeeded = std::function<bool()>;
    using OnRead = std::function<void(const DocumentRead &)>;

    /// All references outlive the object. `onRead` runs in the fiber and must not suspend. After a
    /// read that failed, or that returned empty well before `longPollTimeout`, the next one begins
    /// after `retryInterval`, or with `restart`.
    DocumentWatch(IEventLoop &loop, IKeyedLog &log, const StreamName &stream,
                  Duration longPollTimeout, Duration retryInterval, IsNeeded isNeeded,
                  OnRead onRead);

    void start();
    /// Suspends until the fiber has ended.
    void stop();
    /// Starts reading at once if the watch was idle and is needed now.
    void wakeIfNeeded();
    /// Cancels the pending read, whose connection may be silent, and reads again.
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
