#pragma once

#include <optional>

#include "coordination/upstreams/responsenotice.h"
#include "state/time.h"
#include "state/upstreamnotice.h"

namespace ivyspar {

/// Keeps what the current run of a server states in its responses. Plain object.
///
/// Responses on different connections may overtake each other. A response was certainly written
/// after another one if its request was sent after the other one had arrived; otherwise it may
/// lower the limit, but neither raise nor lift it.
class NoticeTracker
{
public:
    /// Begins without a notice if this is another run than before.
    void setRun(const UpstreamRunName &run);
    /// Applies a response to a request that was sent at `sentAt`. Returns whether the notice
    /// changed.
    bool onResponse(TimePoint sentAt, TimePoint now, const ResponseNotice &response);
    /// Applies what another daemon learned from responses of this run. This daemon's own responses
    /// take precedence, except that a shutdown is final. Returns whether the notice changed.
    bool onForwarded(const UpstreamNotice &notice);
    /// The run is known to be shutting down.
    void setLeaving() { m_notice.isLeaving = true; }
    /// Returns true for the first malformed limit of a run, so that it is logged once.
    bool shouldReportMalformed(const ResponseNotice &response);

    const UpstreamNotice &notice() const { return m_notice; }
    /// The notice for an entry daemon; empty if there is nothing to heed, nothing if neither a
    /// response of this run nor another daemon has told it.
    std::optional<UpstreamNotice> forwardedNotice() const;

private:
    bool mayApply(TimePoint sentAt, const ResponseNotice &response) const;

    UpstreamNotice m_notice;
    bool m_hasResponse = false;
    bool m_isForwarded = false;
    bool m_hasReportedMalformed = false;
    /// Arrival of the latest response that agreed with the notice.
    TimePoint m_statedAt;
};

} // namespace ivyspar
