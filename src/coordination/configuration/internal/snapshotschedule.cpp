#include "coordination/configuration/internal/snapshotschedule.h"

#include <algorithm>

namespace ivyspar {

namespace {

/// A snapshot is renewed after this fraction of the retention. Three more renewals may fail, or an
/// outage may last for half of the retention, before the log truncates the snapshot.
constexpr int RENEWALS_IN_RETENTION = 4;

} // namespace

SnapshotSchedule::SnapshotSchedule(const SnapshotSettings &settings)
    : m_settings(settings)
{
}

bool SnapshotSchedule::updateAndCheckDue(TimePoint now,
                                         const IConfigurationStateMachine &stateMachine,
                                         LogOffset first, LogOffset end, bool isFast,
                                         IRandom &random)
{
    const AcceptedConfiguration *logState = stateMachine.logState();
    const bool isAtEnd = stateMachine.nextOffset() >= end;
    // Without the log state, or before the end of the log, the snapshot could be wrong.
    if (!logState || logState->version.value() == 0 || !isAtEnd) {
        m_due.reset();
        return false;
    }
    observeAnchor(now, stateMachine.anchor(), random);
    if (!isRenewalDue(now, first, end, isFast)) {
        m_due.reset();
        return false;
    }
    if (!m_due) {
        m_due = now + drawJitter(random);
    }
    if (now < *m_due) {
        return false;
    }
    m_due.reset();
    return true;
}

void SnapshotSchedule::onFailure(TimePoint now, IRandom &random)
{
    m_due = now + drawJitter(random);
}

/// A new daemon does not know the age of the anchor that it finds. If it assumed age zero, and
/// hosts were replaced often enough, no daemon would ever renew the snapshot; so it assumes a
/// random age.
void SnapshotSchedule::observeAnchor(TimePoint now, LogOffset anchor, IRandom &random)
{
    if (m_anchor == anchor) {
        return;
    }
    const auto limit =
        static_cast<std::uint64_t>(std::max<Duration::rep>(1, m_settings.retention.count()))
        / RENEWALS_IN_RETENTION;
    const auto age = m_anchor ? 0 : random.below(std::max<std::uint64_t>(1, limit));
    m_anchor = anchor;
    m_anchorSince = now - Duration(static_cast<Duration::rep>(age));
}

bool SnapshotSchedule::isRenewalDue(TimePoint now, LogOffset first, LogOffset end,
                                    bool isFast) const
{
    const int factor = isFast ? 1 : static_cast<int>(m_settings.slowPollerFactor);
    if (now - m_anchorSince >= factor * m_settings.retention / RENEWALS_IN_RETENTION) {
        return true;
    }
    if (*m_anchor < first) {
        return true;
    }
    // Retention by count: the anchor is in the older half of the stored records.
    const std::uint64_t kept = end.value() - std::min(first, end).value();
    return first.value() > 0 && m_anchor->value() - first.value() < kept / 2;
}

Duration SnapshotSchedule::drawJitter(IRandom &random) const
{
    const auto bound =
        static_cast<std::uint64_t>(std::max<Duration::rep>(1, m_settings.jitter.count()));
    return Duration(static_cast<Duration::rep>(random.below(bound)));
}

} // namespace ivyspar
