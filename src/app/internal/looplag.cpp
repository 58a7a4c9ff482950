#include "app/internal/looplag.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

namespace {

/// Short beside the 100 ms from which a lag decides something; 20 wake-ups a second at most.
constexpr Duration PROBE_INTERVAL = std::chrono::milliseconds(50);
/// A timer of a loop that keeps up runs this late: others are due at the same moment, or the
/// process had to wait for its turn.
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
