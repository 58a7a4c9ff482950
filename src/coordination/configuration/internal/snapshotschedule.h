#pragma once

#include <optional>

#include "coordination/configuration/iconfigurationstatemachine.h"
#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

struct SnapshotSettings
{
    /// For how long the platform's log keeps a record.
    Duration retention = std::chrono::hours(1);
    /// Renewals of daemons that notice at the same time are spread over this time.
    Duration jitter = std::chrono::seconds(20);
    /// Daemons that read the log rarely wait so many times as long, so that they act only when the
    /// close followers do not.
    std::uint32_t slowReaderFactor = 2;
};

/// When to append the current version again, so that a daemon that starts later can judge the
/// stream from the records that the log still keeps. Plain object.
///
/// A snapshot's age is timed on this daemon's own clock from the moment it was seen to change, as
/// no clocks are compared between hosts.
class SnapshotSchedule
{
public:
    explicit SnapshotSchedule(const SnapshotSettings &settings);

    /// After a page of the log was folded; `first` and `end` are the page's. True when a snapshot
    /// is to be appended now.
    bool update(TimePoint now, const IConfigurationStateMachine &stateMachine, LogOffset first,
                LogOffset end, bool isFast, IRandom &random);
    /// The snapshot could not be appended, or it is not known whether it was.
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
