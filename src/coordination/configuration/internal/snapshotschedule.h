#pragma once

#include <optional>

#include "coordination/configuration/iconfigurationstatemachine.h"
#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

struct SnapshotSettings
{
    /// Retention time of records in the platform's log.
    Duration retention = std::chrono::hours(1);
    /// Range of the random delay before a renewal, so that daemons that find one due at the same
    /// time do not all append.
    Duration jitter = std::chrono::seconds(20);
    /// Slow pollers wait this many times as long, so that they act only if the fast pollers do not.
    std::uint32_t slowPollerFactor = 2;
};

/// Schedules snapshots of the current version, so that a daemon that starts later can determine the
/// log state from the records that the log still has. Does no I/O and is not thread-safe.
///
/// The age of a snapshot is measured on this daemon's own clock from the time at which the anchor
/// was seen to change, as clocks are not compared between hosts.
class SnapshotSchedule
{
public:
    explicit SnapshotSchedule(const SnapshotSettings &settings);

    /// To be called after a page of the log was applied. `first` is the oldest offset that the log
    /// still has, `end` the offset after its last record. True if a snapshot is to be appended now.
    bool updateAndCheckDue(TimePoint now, const IConfigurationStateMachine &stateMachine,
                           LogOffset first, LogOffset end, bool isFast, IRandom &random);
    /// The snapshot was not appended, or the result is unknown. Schedules another attempt.
    void onFailure(TimePoint now, IRandom &random);

private:
    void observeAnchor(TimePoint now, LogOffset anchor, IRandom &random);
    bool isRenewalDue(TimePoint now, LogOffset first, LogOffset end, bool isFast) const;
    Duration drawJitter(IRandom &random) const;

    SnapshotSettings m_settings;
    std::optional<LogOffset> m_anchor;
    TimePoint m_anchorSince;
    std::optional<TimePoint> m_due;
};

} // namespace ivyspar
