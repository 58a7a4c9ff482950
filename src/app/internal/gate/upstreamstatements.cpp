#include "app/internal/gate/upstreamstatements.h"

#include <utility>

namespace ivyspar {

bool UpstreamStatements::onAnnounced(const Announcement &server)
{
    const UpstreamNotice before = m_notices.notice();
    const UpstreamRunName run = nameOf(server);
    if (before.run != run) {
        m_load = LoadStatementTracker();
        m_hasReportedMalformedLoad = false;
        m_hasReportedIgnoredLoad = false;
    }
    m_notices.setRun(run);
    if (m_leavingRuns.contains(run)) {
        m_notices.setLeaving();
    }
    return !(m_notices.notice() == before);
}

bool UpstreamStatements::readNotice(const Announcement &server, TimePoint now,
                                    const StatedResponse &response)
{
    const ResponseNotice stated = m_dialect.readNotice(response.response);
    if (stated.isRateLimitMalformed) {
        m_metrics.add(Counter::NoticesMalformed);
    }
    if (m_notices.shouldReportMalformed(stated)) {
        m_recorder.recordBadStatement(server, response.root, "malformed-rate-limit");
    }
    const UpstreamNotice before = m_notices.notice();
    if (!m_notices.onResponse(response.sentAt, now, stated)) {
        return false;
    }
    m_recorder.recordNotice(server, response.root, before, m_notices.notice(), "response");
    onNoticeChanged(server);
    return true;
}

bool UpstreamStatements::readLoad(const Announcement &server, TimePoint now,
                                  const StatedResponse &response, std::uint32_t ownCalls)
{
    compareCall(now, response);
    const LoadStatement statement = m_dialect.readLoad(response.response);
    if (statement.isMalformed) {
        m_metrics.add(Counter::LoadStatementsMalformed);
        if (!std::exchange(m_hasReportedMalformedLoad, true)) {
            m_recorder.recordBadStatement(server, response.root, "malformed-load");
        }
    }
    if (!statement.load) {
        return false;
    }
    if (m_load.onStatement(now, *statement.load, ownCalls)) {
        m_metrics.add(Counter::LoadStatementsRead);
        return m_load.hasStatedSpeed();
    }
    m_metrics.add(Counter::LoadStatementsIgnored);
    if (!std::exchange(m_hasReportedIgnoredLoad, true)) {
        m_recorder.recordBadStatement(server, response.root, "implausible-load");
    }
    return m_load.hasStatedSpeed();
}

void UpstreamStatements::compareCall(TimePoint now, const StatedResponse &response)
{
    if (response.call == nullptr || !response.call->isSpeedKnown) {
        return;
    }
    if (m_dialect.classify(response.response) == UpstreamResponseKind::Refused) {
        m_load.onOverloaded(now, *response.call);
    } else if (!isServerError(response.response.status)) {
        m_load.onSuccess(now, *response.call);
    }
}

std::optional<StatedLoadStatus> UpstreamStatements::stated(TimePoint now) const
{
    if (!m_load.newest()) {
        return std::nullopt;
    }
    StatedLoadStatus status;
    status.load = *m_load.newest();
    status.age = std::chrono::duration_cast<Duration>(now - m_load.statedAt());
    status.unchangedFor = std::chrono::duration_cast<Duration>(now - m_load.unchangedSince());
    status.heededSpeed = m_load.serverLoad().speedAt(now);
    status.otherCalls = m_load.serverLoad().otherCallsAt(now);
    return status;
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
    if (m_notices.notice().isLeaving && server.run.isNamed()) {
        m_leavingRuns.add(nameOf(server));
    }
}

} // namespace ivyspar
