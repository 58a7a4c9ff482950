#include "coordination/admission/demandrate.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

/// A shorter history would turn two amounts that arrive together into a rate of thousands per
/// second.
constexpr double MIN_HISTORY_S = 0.2;

} // namespace

void DemandRate::add(TimePoint now, double amount, Duration averagingTime)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_startedAt = now;
        m_updatedAt = now;
    }
    m_sum = m_sum * std::exp(-toSeconds(now - m_updatedAt) / toSeconds(averagingTime)) + amount;
    m_updatedAt = now;
}

double DemandRate::rate(TimePoint now, Duration averagingTime) const
{
    if (!m_isStarted) {
        return 0;
    }
    const double decayTime = toSeconds(averagingTime);
    const double sum = m_sum * std::exp(-toSeconds(now - m_updatedAt) / decayTime);
    // Normalizes a history that is shorter than the averaging time: its weights sum to less than 1.
    const double age = std::max(toSeconds(now - m_startedAt), MIN_HISTORY_S);
    return sum / (decayTime * (1 - std::exp(-age / decayTime)));
}

} // namespace ivyspar
