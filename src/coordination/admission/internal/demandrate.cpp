#include "coordination/admission/internal/demandrate.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Younger averages would make a rate of thousands out of two amounts that came together.
constexpr double SHORTEST_HISTORY = 0.2;

} // namespace

void DemandRate::add(TimePoint now, double amount, Duration memory)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_since = now;
        m_at = now;
    }
    m_sum = m_sum * std::exp(-secondsOf(now - m_at) / secondsOf(memory)) + amount;
    m_at = now;
}

double DemandRate::rate(TimePoint now, Duration memory) const
{
    if (!m_isStarted) {
        return 0;
    }
    const double life = secondsOf(memory);
    const double sum = m_sum * std::exp(-secondsOf(now - m_at) / life);
    // The weights of a history that is shorter than the memory do not add up to the whole.
    const double age = std::max(secondsOf(now - m_since), SHORTEST_HISTORY);
    return sum / (life * (1 - std::exp(-age / life)));
}

} // namespace ivyspar
