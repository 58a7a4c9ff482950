#include "coordination/routing/internal/rateshare.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// With these factors the gate refuses about one in twelve calls of entries that could use more.
constexpr double GROWTH = 1.03;
constexpr double DECREASE = 0.7;
/// Lower bound of the share, relative to an equal one.
constexpr double MIN_SHARE = 0.125;
/// A lifted limit is noticed within this time, however small the share is.
constexpr Duration CONFIRMATION_TIME = std::chrono::seconds(2);

} // namespace

void RateShare::setLimit(TimePoint now, std::optional<RequestRate> limit, std::size_t entries)
{
    m_confirmedAt = now;
    if (limit == m_limit) {
        return;
    }
    if (!limit) {
        *this = RateShare();
        return;
    }
    const double before = m_limit ? m_bucket.rate() / std::max(this->limit(), 1e-3) : 0;
    m_bucket.advance(now);
    const double equal = 1 / static_cast<double>(std::max<std::size_t>(entries, 1));
    m_limit = limit;
    m_minShare = MIN_SHARE * equal * this->limit();
    m_bucket.setRate((before > 0 ? before : equal) * this->limit());
}

bool RateShare::hasToken(TimePoint now) const
{
    return !isLimited() || m_bucket.hasToken(now);
}

bool RateShare::isStale(TimePoint now) const
{
    return isLimited() && now - m_confirmedAt >= CONFIRMATION_TIME;
}

void RateShare::onSent(TimePoint now)
{
    if (!isLimited()) {
        return;
    }
    if (!hasToken(now)) {
        ++m_callsBeyondShare;
        m_confirmedAt = now;
        return;
    }
    m_bucket.take(now);
}

bool RateShare::takeCallBeyondShare()
{
    if (m_callsBeyondShare == 0) {
        return false;
    }
    --m_callsBeyondShare;
    return true;
}

void RateShare::onAccepted()
{
    if (isLimited() && !takeCallBeyondShare()) {
        m_bucket.setRate(std::min(m_bucket.rate() * GROWTH, limit()));
    }
}

void RateShare::onRefused()
{
    if (isLimited() && !takeCallBeyondShare()) {
        m_bucket.setRate(std::max(m_bucket.rate() * DECREASE, m_minShare));
    }
}

} // namespace ivyspar
