#include "coordination/configuration/internal/configurationstatemachine.h"

#include <algorithm>
#include <utility>

#include "coordination/configuration/configurationdigest.h"
#include "coordination/configuration/configurationstatemachinefactory.h"

namespace ivyspar {

namespace {

/// Bound on the texts of unjudged changes. Past it the oldest are given up, and a later snapshot
/// is needed before records can be judged.
constexpr std::size_t MAX_PENDING_BYTES = 16 * 1024 * 1024;
/// Bound on verdicts that nobody takes.
constexpr std::size_t MAX_DEFERRED_RESULTS = 10000;

LogOffset after(LogOffset offset)
{
    return LogOffset(offset.value() + 1);
}

std::size_t sizeOf(const ConfigurationRecord &record)
{
    return sizeof(record) + record.changeId.size() + record.inventory.size() + record.rules.size();
}

bool isIntact(const ConfigurationRecord &record)
{
    return record.digest == configurationDigest(record.inventory, record.rules);
}

AcceptedConfiguration acceptedFrom(const ConfigurationRecord &record, ConfigurationVersion version,
                                   LogOffset offset)
{
    AcceptedConfiguration accepted;
    accepted.version = version;
    accepted.changeId = record.changeId;
    accepted.digest = record.digest;
    accepted.inventory = record.inventory;
    accepted.rules = record.rules;
    accepted.offset = offset;
    return accepted;
}

} // namespace

ConfigurationStateMachine::ConfigurationStateMachine()
{
    m_logState.position = m_next;
}

ApplyResult ConfigurationStateMachine::apply(LogOffset offset, const ConfigurationRecord &record)
{
    if (!advanceTo(offset)) {
        return ApplyResult::Duplicate;
    }
    if (!isIntact(record)) {
        return ApplyResult::Malformed;
    }
    switch (record.kind) {
    case ConfigurationRecord::Kind::Snapshot:
        return applySnapshot(offset, record);
    case ConfigurationRecord::Kind::Restart:
        return applyRestart(offset, record);
    case ConfigurationRecord::Kind::Change:
        break;
    }
    if (!m_isLogStateKnown) {
        deferChange(offset, record);
        return ApplyResult::Deferred;
    }
    return applyChange(offset, record);
}

void ConfigurationStateMachine::forgetBefore(LogOffset first)
{
    if (first > m_next) {
        discardHistory(first);
    }
}

void ConfigurationStateMachine::skip(LogOffset offset)
{
    advanceTo(offset);
}

bool ConfigurationStateMachine::adopt(const AcceptedConfiguration &accepted)
{
    const bool isIntactText =
        accepted.digest == configurationDigest(accepted.inventory, accepted.rules);
    if (accepted.version.value() == 0 || !isIntactText) {
        return false;
    }
    const ConfigurationVersion before = m_newest.version;
    // Also while judging: what lies before the position need not be read from the log any more.
    const LogOffset useful = m_isLogStateKnown ? after(m_next) : m_readSince;
    if (accepted.position && *accepted.position >= useful) {
        resumeAt(accepted, *accepted.position);
    }
    AcceptedConfiguration learned = accepted;
    learned.offset.reset();
    updateNewest(learned);
    return m_newest.version > before;
}

std::vector<DeferredResult> ConfigurationStateMachine::takeDeferredResults()
{
    return std::exchange(m_deferredResults, {});
}

const AcceptedConfiguration *ConfigurationStateMachine::current() const
{
    return m_newest.version.value() > 0 ? &m_newest : nullptr;
}

const AcceptedConfiguration *ConfigurationStateMachine::logState() const
{
    return m_isLogStateKnown ? &m_logState : nullptr;
}

/// False for an offset that was read before.
bool ConfigurationStateMachine::advanceTo(LogOffset offset)
{
    if (offset < m_next) {
        return false;
    }
    forgetBefore(offset);
    // A position that a peer vouches for may lie behind this offset.
    if (offset < m_next) {
        return false;
    }
    m_next = after(offset);
    m_logState.position = m_next;
    return true;
}

/// Records before `start` were forgotten unread. One of them may have been an accepted change: a
/// fold that judged on would accept a change that all others refuse, for good. So nothing is judged
/// until a snapshot or a peer tells the version at a position that was read.
void ConfigurationStateMachine::discardHistory(LogOffset start)
{
    m_isLogStateKnown = false;
    m_readSince = start;
    m_next = start;
    m_pending.clear();
    m_pendingBytes = 0;
    if (m_newest.position && *m_newest.position >= start) {
        resumeAt(AcceptedConfiguration(m_newest), *m_newest.position);
    }
}

void ConfigurationStateMachine::deferChange(LogOffset offset, const ConfigurationRecord &record)
{
    m_pending.push_back({ offset, record });
    m_pendingBytes += sizeOf(record);
    while (m_pendingBytes > MAX_PENDING_BYTES) {
        m_pendingBytes -= sizeOf(m_pending.front().record);
        m_readSince = after(m_pending.front().offset);
        m_pending.pop_front();
    }
}

ApplyResult ConfigurationStateMachine::applyChange(LogOffset offset,
                                                   const ConfigurationRecord &record)
{
    if (record.base != m_logState.version) {
        return ApplyResult::Conflict;
    }
    m_logState = acceptedFrom(record, ConfigurationVersion(m_logState.version.value() + 1), offset);
    m_logState.position = m_next;
    updateNewest(m_logState);
    return ApplyResult::Accepted;
}

/// While records are judged, a snapshot tells nothing new, as its author judged the same stream.
/// Its version may be outdated: the author had read only up to `position`, and changes may lie
/// between there and the snapshot. A fold that took the version at the snapshot's own offset would
/// undo them and accept a change of a loser.
ApplyResult ConfigurationStateMachine::applySnapshot(LogOffset offset,
                                                     const ConfigurationRecord &record)
{
    if (record.position > offset || record.base.value() == 0) {
        return ApplyResult::Malformed;
    }
    const ConfigurationVersion before = m_newest.version;
    AcceptedConfiguration snapshot = acceptedFrom(record, record.base, offset);
    snapshot.position = record.position;
    if (!m_isLogStateKnown && record.position >= m_readSince) {
        resumeAt(snapshot, record.position);
    }
    updateNewest(snapshot);
    if (m_isLogStateKnown && record.base == m_logState.version) {
        m_logState.offset = offset;
    }
    m_anchor = std::max(m_anchor, record.position);
    return m_newest.version > before ? ApplyResult::Accepted : ApplyResult::Duplicate;
}

/// Nothing is known to be left of what came before, so an unjudged stream is judged from here on.
ApplyResult ConfigurationStateMachine::applyRestart(LogOffset offset,
                                                    const ConfigurationRecord &record)
{
    if (m_isLogStateKnown && record.base <= m_logState.version) {
        return ApplyResult::Conflict;
    }
    m_pending.clear();
    m_pendingBytes = 0;
    m_isLogStateKnown = true;
    m_logState = acceptedFrom(record, record.base, offset);
    m_logState.position = m_next;
    updateNewest(m_logState);
    m_anchor = std::max(m_anchor, offset);
    return ApplyResult::Accepted;
}

/// `at` was the current version just before `position`, which is not before `m_readSince`.
void ConfigurationStateMachine::resumeAt(const AcceptedConfiguration &at, LogOffset position)
{
    m_isLogStateKnown = true;
    m_logState = at;
    m_next = std::max(m_next, position);
    m_logState.position = m_next;
    updateNewest(m_logState);
    const std::deque<PendingRecord> pending = std::exchange(m_pending, {});
    m_pendingBytes = 0;
    for (const PendingRecord &each : pending) {
        if (each.offset < position) {
            continue;
        }
        const ApplyResult result = applyChange(each.offset, each.record);
        if (m_deferredResults.size() < MAX_DEFERRED_RESULTS) {
            m_deferredResults.push_back(
                { each.offset, each.record.changeId, result, m_logState.version });
        }
    }
}

/// Versions only grow. Of two texts of one version that of the log counts.
void ConfigurationStateMachine::updateNewest(const AcceptedConfiguration &accepted)
{
    if (accepted.version < m_newest.version) {
        return;
    }
    const bool isNewer = accepted.version > m_newest.version;
    const std::optional<LogOffset> position =
        isNewer ? accepted.position : std::max(accepted.position, m_newest.position);
    if (isNewer || accepted.offset) {
        m_newest = accepted;
    }
    m_newest.position = position;
}

std::unique_ptr<IConfigurationStateMachine> makeConfigurationStateMachine()
{
    return std::make_unique<ConfigurationStateMachine>();
}

} // namespace ivyspar
