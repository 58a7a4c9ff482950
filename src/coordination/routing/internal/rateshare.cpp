#include "coordination/routing/internal/rateshare.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// With these factors the gate refuses about one in twelve calls of entries that could use more.
constexpr double GROWTH = 1.03;
constexpr double DECREASE = 0.7;
/// Lower bound of the share, relative to an equal one.
constexpr double MIN_SHARE = 0.125;
/// Size of the bucket beside one token, in time at the share.
constexpr double BURST_SECONDS = 0.25;
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
    const double before = m_limit ? m_share / std::max(this->limit(), 1e-3) : 0;
    m_tokens = m_limit ? tokens(now) : 0;
    m_updatedAt = now;
    const double equal = 1 / static_cast<double>(std::max<std::size_t>(entries, 1));
    m_limit = limit;
    m_minShare = MIN_SHARE * equal * this->limit();
    m_share = (before > 0 ? before : equal) * this->limit();
}

double RateShare::tokens(TimePoint now) const
{
    const double passed = std::max(toSeconds(now - m_updatedAt), 0.0);
    return std::min(m_tokens + m_share * passed, 1 + BURST_SECONDS * m_share);
}

bool RateShare::hasToken(TimePoint now) const
{
    return !isLimited() || tokens(now) >= 1;
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
    m_tokens = tokens(now) - 1;
    m_updatedAt = now;
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
        m_share = std::min(m_share * GROWTH, limit());
    }
}

void RateShare::onRefused()
{
    if (isLimited() && !takeCallBeyondShare()) {
        m_share = std::max(m_share * DECREASE, m_minShare);
    }
}

} // namespace ivyspar
