#include "coordination/admission/internal/kindshare.h"

#include <cmath>

namespace ivyspar {

namespace {

/// Time in which the weight of a call falls by a factor of e.
constexpr Duration AVERAGING_TIME = std::chrono::seconds(2);

} // namespace

void KindShare::onStart(TimePoint now)
{
    advance(now);
    ++m_starts;
    ++m_decided;
}

void KindShare::onRefusal(TimePoint now)
{
    advance(now);
    ++m_decided;
}

double KindShare::decay(TimePoint now) const
{
    return std::exp(-toSeconds(now - m_updatedAt) / toSeconds(AVERAGING_TIME));
}

void KindShare::advance(TimePoint now)
{
    const double factor = decay(now);
    m_starts *= factor;
    m_decided *= factor;
    m_updatedAt = now;
}

} // namespace ivyspar
