#include "app/internal/looplag.h"

#include <algorithm>
#include <utility>

namespace ivyspar {

namespace {

/// Short beside the 100 ms from which a lag decides something; 20 wake-ups a second at most.
constexpr Duration TICK = std::chrono::milliseconds(50);
/// A timer of a loop that keeps up runs this late: others are due at the same moment, or the
/// process had to wait for its turn.
constexpr Duration USUAL_LATENESS = std::chrono::milliseconds(20);

} // namespace

LoopLag::LoopLag(IEventLoop &loop)
    : m_loop(loop)
{
}

LoopLag::~LoopLag()
{
    m_loop.cancelTimer(m_timer);
}

Duration LoopLag::now()
{
    m_isAsked = true;
    if (!m_isArmed) {
        arm();
        return Duration::zero();
    }
    const auto overdue = std::chrono::duration_cast<Duration>(m_loop.now() - m_dueAt);
    const Duration lag = std::max(m_last, overdue);
    return lag > USUAL_LATENESS ? lag : Duration::zero();
}

void LoopLag::arm()
{
    m_isArmed = true;
    m_dueAt = m_loop.now() + TICK;
    m_timer = m_loop.callLater(TICK, [this] { onTick(); });
}

void LoopLag::onTick()
{
    m_last = std::chrono::duration_cast<Duration>(m_loop.now() - m_dueAt);
    m_isArmed = false;
    if (std::exchange(m_isAsked, false)) {
        arm();
        return;
    }
    m_last = Duration::zero();
}

} // namespace ivyspar
