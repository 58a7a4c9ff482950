#include "app/internal/waketimer.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

WakeTimer::WakeTimer(IEventLoop &loop, std::function<void()> task)
    : m_loop(loop)
    , m_task(std::move(task))
{
}

WakeTimer::~WakeTimer()
{
    m_loop.cancelTimer(m_timer);
}

void WakeTimer::wakeAt(TimePoint time)
{
    if (time == m_time) {
        return;
    }
    m_loop.cancelTimer(m_timer);
    m_time = time;
    if (time == TimePoint::max()) {
        return;
    }
    const auto delay = std::chrono::duration_cast<Duration>(time - m_loop.now());
    m_timer = m_loop.callLater(std::max(delay, Duration::zero()), [this] {
        m_time = TimePoint::max();
        m_task();
    });
}

} // namespace ivyspar
