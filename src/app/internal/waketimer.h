#pragma once

#include <functional>

#include "transport/ieventloop.h"

namespace ivyspar {

/// A single timer that calls a task at the next time an object without a timer of its own asks for.
class WakeTimer
{
public:
    WakeTimer(IEventLoop &loop, std::function<void()> task);
    ~WakeTimer();
    WakeTimer(const WakeTimer &) = delete;
    WakeTimer &operator=(const WakeTimer &) = delete;

    /// Replaces the time set before. `TimePoint::max()` disarms the timer.
    void wakeAt(TimePoint time);

private:
    IEventLoop &m_loop;
    std::function<void()> m_task;
    TimerId m_timer;
    TimePoint m_time = TimePoint::max();
};

} // namespace ivyspar
