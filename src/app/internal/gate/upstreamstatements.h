#pragma once

#include <optional>

#include "app/internal/gate/announcement.h"
#include "app/internal/gate/gaterecorder.h"
#include "app/internal/gate/statedloadstatus.h"
#include "coordination/upstreams/leavingruns.h"
#include "coordination/upstreams/loadstatementtracker.h"
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
    /// The call as it was started; nullptr for a health check.
    const TrackedCall *call = nullptr;
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
    /// Applies the notice that the run states in its response. Returns whether it changed.
    bool readNotice(const Announcement &server, TimePoint now, const StatedResponse &response);
    /// Applies the load that the run states in its response. `ownCalls`: calls of its gate that may
    /// be running there. Returns whether the gate has to learn of it.
    bool readLoad(const Announcement &server, TimePoint now, const StatedResponse &response,
                  std::uint32_t ownCalls);
    /// A call is sent to the server. `ownCalls` includes it.
    TrackedCall startCall(TimePoint now, std::uint32_t ownCalls)
    {
        return m_load.startCall(now, ownCalls);
    }
    /// Applies what the entry daemon of that call has learned of the server. Returns whether the
    /// notice changed.
    bool onForwarded(const Announcement &server, const CallMessage &message);

    const UpstreamNotice &notice() const { return m_notices.notice(); }
    /// The notice for an entry daemon; nothing if it is not known here.
    std::optional<UpstreamNotice> forwardedNotice() const { return m_notices.forwardedNotice(); }
    /// Whether the run has stated its speed at any time.
    bool hasStatedSpeed() const { return m_load.hasStatedSpeed(); }
    /// What the gate goes by of the server's load statements.
    const ServerLoad &serverLoad() const { return m_load.serverLoad(); }
    /// The newest load statement, for operators; nothing if there is none.
    std::optional<StatedLoadStatus> stated(TimePoint now) const;

private:
    void onNoticeChanged(const Announcement &server);
    void compareCall(TimePoint now, const StatedResponse &response);

    const IUpstreamDialect &m_dialect;
    GateRecorder &m_recorder;
    IMetrics &m_metrics;
    LeavingRuns &m_leavingRuns;
    NoticeTracker m_notices;
    LoadStatementTracker m_load;
    bool m_hasReportedMalformedLoad = false;
    bool m_hasReportedIgnoredLoad = false;
};

} // namespace ivyspar
