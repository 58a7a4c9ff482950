#pragma once

#include <functional>

#include "transport/ieventloop.h"

namespace ivyspar {

/// One timer that is moved to whenever a plain object next wants to be called.
class WakeTimer
{
public:
    WakeTimer(IEventLoop &loop, std::function<void()> task);
    ~WakeTimer();
    WakeTimer(const WakeTimer &) = delete;
    WakeTimer &operator=(const WakeTimer &) = delete;

    /// `TimePoint::max()` for not at all. Replaces the time given before.
    void wakeAt(TimePoint time);

private:
    IEventLoop &m_loop;
    std::function<void()> m_task;
    TimerId m_timer;
    TimePoint m_time = TimePoint::max();
};

} // namespace ivyspar
