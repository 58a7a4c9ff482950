#include "coordination/configuration/internal/configurationstatemachine.h"

#include <algorithm>
#include <utility>

#include "coordination/configuration/configurationdigest.h"
#include "coordination/configuration/configurationstatemachinefactory.h"

namespace ivyspar {

namespace {

/// Bound on the memory of deferred changes. Beyond it the oldest are dropped, and the log state
/// becomes known only with a later snapshot.
constexpr std::size_t MAX_PENDING_BYTES = 16 * 1024 * 1024;
/// Bound on deferred results that are not fetched.
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

void ConfigurationStateMachine::truncateBefore(LogOffset first)
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
    // Also if the log state is known: records before the position need not be read any more.
    const LogOffset firstUseful = m_isLogStateKnown ? after(m_next) : m_readSince;
    if (accepted.position && *accepted.position >= firstUseful) {
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

/// False if the offset was read before.
bool ConfigurationStateMachine::advanceTo(LogOffset offset)
{
    if (offset < m_next) {
        return false;
    }
    truncateBefore(offset);
    // The state may have resumed at a position from a peer behind this offset.
    if (offset < m_next) {
        return false;
    }
    m_next = after(offset);
    m_logState.position = m_next;
    return true;
}

/// Records before `start` were truncated unread. One of them may have been an accepted change, so
/// applying further changes could accept one that all other daemons reject, permanently. Therefore
/// changes are deferred until a snapshot or a peer gives the version at a position that was read.
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

/// If the log state is known, a snapshot adds nothing to it, as its author applied the same stream.
/// Its version may be outdated: the author had read only up to `position`, and changes may lie
/// between there and the snapshot. Taking the version as current at the snapshot's own offset would
/// revert these changes, and a later change with an outdated base would be accepted.
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

/// An operator appends a restart when no earlier version is left, so the log state is known from
/// here on.
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

/// `at` was current just before `position`, which must not be before `m_readSince`. Applies the
/// deferred changes from there on.
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

/// The newest version never decreases. Of two texts of the same version, that of the log has
/// precedence.
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
