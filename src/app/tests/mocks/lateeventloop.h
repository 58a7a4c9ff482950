#pragma once

#include <utility>

#include "app/tests/mocks/inlineeventloop.h"

namespace ivyspar {

/// An event loop whose timers fire late, as in a process short of processor time.
class LateEventLoop : public InlineEventLoop
{
public:
    TimerId callLater(Duration delay, std::function<void()> task) override
    {
        ++m_timerCount;
        return InlineEventLoop::callLater(delay + m_lateness, std::move(task));
    }
    void setLateness(Duration lateness) { m_lateness = lateness; }
    int timerCount() const { return m_timerCount; }

private:
    Duration m_lateness{ 0 };
    int m_timerCount = 0;
};

} // namespace ivyspar
