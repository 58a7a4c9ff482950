#include "app/internal/gate/upstreamstatements.h"

namespace ivyspar {

bool UpstreamStatements::onAnnounced(const Announcement &server)
{
    const UpstreamNotice before = m_notices.notice();
    const UpstreamId run = runIdOf(server);
    m_notices.setRun(run);
    if (m_leavingRuns.contains(run)) {
        m_notices.setLeaving();
    }
    return !(m_notices.notice() == before);
}

bool UpstreamStatements::onResponse(const Announcement &server, TimePoint now,
                                    const StatedResponse &response)
{
    const ResponseNotice stated = m_dialect.readNotice(response.response);
    if (stated.isRateLimitMalformed) {
        m_metrics.add(Counter::NoticesMalformed);
    }
    if (m_notices.shouldReportMalformed(stated)) {
        m_recorder.recordMalformedNotice(server, response.root);
    }
    const UpstreamNotice before = m_notices.notice();
    if (!m_notices.onResponse(response.sentAt, now, stated)) {
        return false;
    }
    m_recorder.recordNotice(server, response.root, before, m_notices.notice(), "response");
    onNoticeChanged(server);
    return true;
}

bool UpstreamStatements::onForwarded(const Announcement &server, const CallMessage &message)
{
    const UpstreamNotice before = m_notices.notice();
    if (!message.notice || !m_notices.onForwarded(*message.notice)) {
        return false;
    }
    m_recorder.recordNotice(server, message.root, before, m_notices.notice(), "forwarded");
    onNoticeChanged(server);
    return true;
}

/// A run without an id is not remembered: the next run may have its address.
void UpstreamStatements::onNoticeChanged(const Announcement &server)
{
    if (m_notices.notice().isLeaving && !server.instance.value().empty()) {
        m_leavingRuns.add(runIdOf(server));
    }
}

} // namespace ivyspar
