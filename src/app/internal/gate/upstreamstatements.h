#pragma once

#include <optional>

#include "app/internal/gate/announcement.h"
#include "app/internal/gate/gaterecorder.h"
#include "coordination/upstreams/leavingruns.h"
#include "coordination/upstreams/noticetracker.h"
#include "protocol/iupstreamdialect.h"
#include "protocol/messages.h"
#include "state/http.h"
#include "state/imetrics.h"

namespace ivyspar {

/// A response of a server, and the call that it belongs to.
struct StatedResponse
{
    const HttpResponse &response;
    /// Empty for a health check.
    RootId root;
    TimePoint sentAt;
};

/// Reads, keeps and logs what the current run of a server states about itself. Traffic thread only.
class UpstreamStatements
{
public:
    UpstreamStatements(const IUpstreamDialect &dialect, GateRecorder &recorder, IMetrics &metrics,
                       LeavingRuns &leavingRuns)
        : m_dialect(dialect)
        , m_recorder(recorder)
        , m_metrics(metrics)
        , m_leavingRuns(leavingRuns)
    {
    }

    /// The server was announced. Returns whether its notice changed.
    bool onAnnounced(const Announcement &server);
    /// Applies what that run states in its response. Returns whether its notice changed.
    bool onResponse(const Announcement &server, TimePoint now, const StatedResponse &response);
    /// Applies what the entry daemon of that call has learned of the server. Returns whether the
    /// notice changed.
    bool onForwarded(const Announcement &server, const CallMessage &message);

    const UpstreamNotice &notice() const { return m_notices.notice(); }
    /// The notice for an entry daemon; nothing if it is not known here.
    std::optional<UpstreamNotice> forwardedNotice() const { return m_notices.forwardedNotice(); }

private:
    void onNoticeChanged(const Announcement &server);

    const IUpstreamDialect &m_dialect;
    GateRecorder &m_recorder;
    IMetrics &m_metrics;
    LeavingRuns &m_leavingRuns;
    NoticeTracker m_notices;
};

} // namespace ivyspar
