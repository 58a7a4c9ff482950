#include "coordination/admission/internal/accountlevel.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

constexpr Duration ROOM_AVERAGING_TIME = std::chrono::seconds(1);
/// Time in which the largest relative demand decays by a factor of e.
constexpr double PEAK_DECAY_S = 10;
/// Weight of one request in the mean cost.
constexpr double COST_WEIGHT = 0.02;
/// Lower bound of the level, relative to the largest relative demand.
constexpr double MIN_LEVEL = 1e-6;
/// The balance moves the level with this part of the square of the gain, which damps the changes of
/// the level critically.
constexpr double BALANCE_GAIN = 1.0 / 16;

} // namespace

AccountLevel::AccountLevel(const AccountSharesOptions &options)
    : m_options(options)
{
}

void AccountLevel::addRoom(TimePoint now, double room, double cost)
{
    m_meanCost = m_meanCost > 0 ? m_meanCost + COST_WEIGHT * (cost - m_meanCost) : cost;
    m_roomRate.add(now, room, ROOM_AVERAGING_TIME);
    m_room = room;
    m_bound = std::max(m_options.minBurst * m_meanCost,
                       m_roomRate.rate(now, ROOM_AVERAGING_TIME) * toSeconds(m_options.burst));
    m_balance += room;
}

void AccountLevel::recordDemand(TimePoint now, double relativeDemand)
{
    m_peak *= std::exp(-toSeconds(now - m_peakAt) / PEAK_DECAY_S);
    m_peakAt = now;
    m_peak = std::max(m_peak, relativeDemand);
    m_value = m_value > 0 ? std::clamp(m_value, MIN_LEVEL * m_peak, m_peak) : m_peak;
}

/// Beyond the bounds of the balance the total comes first: room that nobody is entitled to goes to
/// whoever asks, and credit that was saved up is not used all at once.
bool AccountLevel::admits(bool isEntitled) const
{
    return isEntitled ? m_balance > -m_bound : m_balance >= m_bound;
}

void AccountLevel::record(bool isEntitled, bool isAdmitted, double cost)
{
    m_balance -= isAdmitted ? cost : 0;
    m_balance = std::clamp(m_balance, -2 * m_bound, m_bound);
    const double change = (m_room - (isEntitled ? cost : 0)) / m_meanCost;
    const double gain = m_options.levelGain;
    m_value *= std::exp(
        std::clamp(gain * (change + gain * BALANCE_GAIN * m_balance / m_meanCost), -1.0, 1.0));
}

} // namespace ivyspar
