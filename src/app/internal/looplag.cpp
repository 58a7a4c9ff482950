#include "app/internal/looplag.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

namespace {

/// Short compared to the lag of 100 ms from which on decisions depend on it; 20 wake-ups per second
/// at most.
constexpr Duration PROBE_INTERVAL = std::chrono::milliseconds(50);
/// Timers of a loop that keeps up can fire this late, because other timers are due at the same time
/// or the process waits to be scheduled.
constexpr Duration MAX_NORMAL_LATENESS = std::chrono::milliseconds(20);

} // namespace

LoopLag::LoopLag(IEventLoop &loop)
    : m_loop(loop)
{
}

LoopLag::~LoopLag()
{
    m_loop.cancelTimer(m_timer);
}

Duration LoopLag::current()
{
    m_wasQueried = true;
    if (!m_isArmed) {
        arm();
        return Duration::zero();
    }
    const auto overdue = std::chrono::duration_cast<Duration>(m_loop.now() - m_dueAt);
    const Duration lag = std::max(m_lastLag, overdue);
    return lag > MAX_NORMAL_LATENESS ? lag : Duration::zero();
}

void LoopLag::arm()
{
    m_isArmed = true;
    m_dueAt = m_loop.now() + PROBE_INTERVAL;
    m_timer = m_loop.callLater(PROBE_INTERVAL, [this] { onProbe(); });
}

void LoopLag::onProbe()
{
    m_lastLag = std::chrono::duration_cast<Duration>(m_loop.now() - m_dueAt);
    m_isArmed = false;
    if (std::exchange(m_wasQueried, false)) {
        arm();
        return;
    }
    m_lastLag = Duration::zero();
}

} // namespace ivyspar
