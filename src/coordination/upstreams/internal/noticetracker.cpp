#include "coordination/upstreams/noticetracker.h"

#include <utility>

namespace ivyspar {

void NoticeTracker::setRun(const UpstreamRunName &run)
{
    if (m_notice.run == run) {
        return;
    }
    *this = NoticeTracker();
    m_notice.run = run;
}

bool NoticeTracker::onResponse(TimePoint sentAt, TimePoint now, const ResponseNotice &response)
{
    const UpstreamNotice before = m_notice;
    m_notice.isLeaving = m_notice.isLeaving || response.isLeaving;
    if (!response.isRateLimitMalformed && mayApply(sentAt, response)) {
        m_notice.rateLimit = response.rateLimit;
        m_statedAt = now;
        m_hasResponse = true;
    }
    return !(m_notice == before);
}

bool NoticeTracker::mayApply(TimePoint sentAt, const ResponseNotice &response) const
{
    if (!m_hasResponse || sentAt >= m_statedAt || response.rateLimit == m_notice.rateLimit) {
        return true;
    }
    const bool isLower =
        response.rateLimit && (!m_notice.rateLimit || *response.rateLimit < *m_notice.rateLimit);
    return isLower;
}

bool NoticeTracker::onForwarded(const UpstreamNotice &notice)
{
    if (notice.run != m_notice.run || notice.run.value().empty()) {
        return false;
    }
    const UpstreamNotice before = m_notice;
    m_notice.isLeaving = m_notice.isLeaving || notice.isLeaving;
    if (!m_hasResponse) {
        m_notice.rateLimit = notice.rateLimit;
        m_isForwarded = true;
    }
    return !(m_notice == before);
}

std::optional<UpstreamNotice> NoticeTracker::forwardedNotice() const
{
    if (!m_hasResponse && !m_isForwarded) {
        return std::nullopt;
    }
    return m_notice.rateLimit || m_notice.isLeaving ? m_notice : UpstreamNotice();
}

bool NoticeTracker::shouldReportMalformed(const ResponseNotice &response)
{
    return response.isRateLimitMalformed && !std::exchange(m_hasReportedMalformed, true);
}

} // namespace ivyspar
