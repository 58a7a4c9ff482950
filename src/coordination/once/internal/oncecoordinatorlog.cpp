// Appends to and reads from the claim log.
#include <algorithm>

#include "coordination/once/internal/oncecoordinator.h"

namespace ivyspar {

namespace {

Verdict logVerdict(Duration retryAfter)
{
    Verdict verdict;
    verdict.outcome = Outcome::NotRun;
    verdict.reason = Reason::LogUnavailable;
    verdict.retryAfter = retryAfter;
    return verdict;
}

} // namespace

OnceActions OnceCoordinator::appendDone(TimePoint now, AppendId id, LogOffset offset)
{
    if (!m_inFlightAppend || m_inFlightAppend->id != id) {
        return withLogActions(now, {});
    }
    const LogOffset end(offset.value() + 1);
    for (const ClaimEntry &entry : m_inFlightAppend->entries) {
        const auto abandoned = m_abandonedClaims.find(entry.nonce);
        if (entry.kind == ClaimKind::Release && abandoned != m_abandonedClaims.end()) {
            abandoned->second.isReleasePending = false;
            abandoned->second.releaseEnd = end;
        }
        const auto tracked = m_byNonce.find(entry.nonce);
        if (entry.kind == ClaimKind::Claim && tracked != m_byNonce.end()) {
            m_trackedKeys[tracked->second].isInFlight = false;
            m_trackedKeys[tracked->second].mayBeInLog = true;
        }
    }
    m_inFlightAppend.reset();
    m_awaitedEnd = std::max(m_awaitedEnd, end);
    m_nextRead = now;
    return withLogActions(now, {});
}

OnceActions OnceCoordinator::appendFailed(TimePoint now, AppendId id, AppendFailure failure)
{
    OnceActions actions;
    if (!m_inFlightAppend || m_inFlightAppend->id != id) {
        return withLogActions(now, std::move(actions));
    }
    const InFlightAppend failed = *std::exchange(m_inFlightAppend, std::nullopt);
    for (const ClaimEntry &entry : failed.entries) {
        const auto abandoned = m_abandonedClaims.find(entry.nonce);
        if (abandoned != m_abandonedClaims.end()) {
            abandoned->second.isReleasePending = false;
        }
        const auto found = m_byNonce.find(entry.nonce);
        if (entry.kind != ClaimKind::Claim || found == m_byNonce.end()) {
            continue;
        }
        TrackedKey &tracked = m_trackedKeys[found->second];
        tracked.isInFlight = false;
        if (failure == AppendFailure::Unknown) {
            tracked.mayBeInLog = true;
            tracked.uncertainSince = now;
        } else if (!tracked.mayBeInLog) {
            // Certainly not in the log, so that no release is needed.
            tracked.claimCopies = 0;
        }
        if (failure == AppendFailure::NotAppended && tracked.stage == Stage::Claiming) {
            refuseAll(tracked, logVerdict(m_options.logBackoff), DaemonId(), actions);
            dropKey(now, found->second);
        }
    }
    if (failure == AppendFailure::NotAppended) {
        m_logDownUntil = now + m_options.logBackoff;
        refuseQueuedClaims(now, actions);
    }
    m_nextRead = std::min(m_nextRead, now);
    return withLogActions(now, std::move(actions));
}

/// The log is unavailable: attempts whose claims are still queued are refused immediately.
void OnceCoordinator::refuseQueuedClaims(TimePoint now, OnceActions &actions)
{
    std::vector<TrackedKeyId> refused;
    for (const ClaimEntry &entry : m_appendQueue) {
        const auto found = m_byNonce.find(entry.nonce);
        const bool isWaiting = entry.kind == ClaimKind::Claim && found != m_byNonce.end()
            && m_trackedKeys[found->second].stage == Stage::Claiming;
        if (isWaiting) {
            refused.push_back(found->second);
        }
        const auto abandoned = m_abandonedClaims.find(entry.nonce);
        if (entry.kind == ClaimKind::Release && abandoned != m_abandonedClaims.end()) {
            abandoned->second.isReleasePending = false;
        }
    }
    m_appendQueue.clear();
    for (const TrackedKeyId id : refused) {
        refuseAll(m_trackedKeys[id], logVerdict(m_options.logBackoff), DaemonId(), actions);
        dropKey(now, id);
    }
}

OnceActions OnceCoordinator::readFailed(TimePoint now)
{
    m_readSent.reset();
    m_nextRead = now + m_options.logBackoff;
    m_logDownUntil = now + m_options.logBackoff;
    OnceActions actions;
    // Nothing is appended before the start offset is found. Queued claims would wait in vain, and
    // their callers would get "unknown" at the deadline for calls that never ran.
    if (m_startSearch != StartSearch::Found) {
        refuseQueuedClaims(now, actions);
    }
    return withLogActions(now, std::move(actions));
}

OnceActions OnceCoordinator::recordsRead(TimePoint now, const ClaimPage &page)
{
    OnceActions actions;
    const TimePoint issued = m_readSent.value_or(now);
    m_readSent.reset();
    if (m_startSearch != StartSearch::Found) {
        findStartOffset(now, page);
        return withLogActions(now, std::move(actions));
    }
    const LogOffset before = m_table->appliedEnd();
    if (page.first > before) {
        skipTruncatedRecords(now, page.first, actions);
    }
    applyPage(now, page, actions);
    const LogOffset end = m_table->appliedEnd();
    const bool isMoreKnown = end < page.end && end > before;
    const bool isAwaited = end < m_awaitedEnd;
    m_nextRead = now + m_options.idleReadInterval;
    if (isMoreKnown) {
        m_nextRead = now;
    } else if (isAwaited) {
        // The replica that answered lags behind the one that accepted the append.
        m_nextRead = now + m_options.readRetryDelay;
    } else {
        requeueUncertainClaims(issued);
    }
    queueReleases(now);
    return withLogActions(now, std::move(actions));
}

/// The start offset is the horizon of the last batch. Older records are not needed, so a starting
/// daemon reads one claim window instead of everything that the log retains.
void OnceCoordinator::findStartOffset(TimePoint now, const ClaimPage &page)
{
    m_nextRead = now;
    if (m_startSearch == StartSearch::FindingEnd) {
        m_firstKeptOffset = page.first;
        const bool isEmpty = page.end <= page.first;
        m_lastRecordOffset = isEmpty ? page.first : LogOffset(page.end.value() - 1);
        m_startSearch = StartSearch::ReadingLastRecord;
        if (!isEmpty) {
            return;
        }
    }
    LogOffset from = std::max(m_firstKeptOffset, page.first);
    if (!page.records.empty() && page.records.back().batch) {
        from = std::max(from, page.records.back().batch->horizon);
    }
    m_table->restart(now, from);
    m_startSearch = StartSearch::Found;
}

void OnceCoordinator::applyPage(TimePoint now, const ClaimPage &page, OnceActions &actions)
{
    for (const ClaimRecord &record : page.records) {
        const LogOffset next = m_table->appliedEnd();
        if (record.offset < next) {
            continue;
        }
        if (record.offset > next) {
            return;
        }
        const ClaimBatch *batch = record.batch ? &*record.batch : nullptr;
        const auto decisions = m_table->apply(batch);
        const bool isOwn = batch && batch->daemon == m_self && batch->incarnation == m_incarnation;
        if (!isOwn) {
            continue;
        }
        for (const ClaimDecision &decision : decisions) {
            applyDecision(now, decision, actions);
        }
    }
}

/// The log dropped records before they were read. They are older than the claim window and no
/// longer block keys, but a claim of this daemon may be among them, and its result cannot be
/// determined.
void OnceCoordinator::skipTruncatedRecords(TimePoint now, LogOffset first, OnceActions &actions)
{
    m_table->restart(now, first);
    std::vector<TrackedKeyId> undecided;
    for (const auto &[id, tracked] : m_trackedKeys) {
        if (tracked.stage == Stage::Claiming && tracked.claimCopies > 0) {
            undecided.push_back(id);
        }
    }
    for (const TrackedKeyId id : undecided) {
        refuseAll(m_trackedKeys[id], logVerdict(m_options.logBackoff), DaemonId(), actions);
        dropKey(now, id);
    }
}

void OnceCoordinator::applyDecision(TimePoint now, const ClaimDecision &decision,
                                    OnceActions &actions)
{
    const auto found = m_byNonce.find(decision.nonce);
    if (found == m_byNonce.end()) {
        m_releaseCandidates.insert(decision.nonce);
        return;
    }
    const TrackedKeyId id = found->second;
    TrackedKey &tracked = m_trackedKeys[id];
    if (tracked.stage != Stage::Claiming) {
        return;
    }
    if (decision.isFirst) {
        tracked.stage = Stage::Granted;
        m_expiry.emplace_back(now + m_options.window(), id);
        grantNext(now, id, actions);
        return;
    }
    const auto &blocker = decision.blocker;
    const bool isOwnAbandoned = blocker && blocker->daemon == m_self
        && blocker->incarnation == m_incarnation && m_abandonedClaims.count(blocker->nonce) != 0;
    if (isOwnAbandoned) {
        // The blocking claim was abandoned by this daemon: release it, then claim the key again.
        abandonClaim(now, tracked);
        tracked.nonce = ++m_lastNonce;
        m_byNonce[tracked.nonce] = id;
        tracked.claimCopies = 0;
        tracked.firstSent.reset();
        tracked.mayBeInLog = false;
        tracked.isQueued = false;
        tracked.isInFlight = false;
        tracked.uncertainSince.reset();
        queueReleases(now);
        queueClaim(tracked);
        return;
    }
    const OnceReply reply = blocker ? heldKeyReply(CallId(), *blocker)
                                    : OnceReply{ {}, logVerdict(m_options.logBackoff), {}, {} };
    refuseAll(tracked, reply.verdict, reply.holder, actions);
    dropKey(now, id);
}

void OnceCoordinator::queueClaim(TrackedKey &tracked)
{
    tracked.isQueued = true;
    m_appendQueue.push_back({ ClaimKind::Claim, tracked.rule, tracked.key, tracked.nonce });
}

/// The result of an append is unknown, and a later read did not contain the claim. It may still
/// arrive, so the same claim is sent again: a second copy does not change the result of the replay.
void OnceCoordinator::requeueUncertainClaims(TimePoint readIssued)
{
    for (auto &[id, tracked] : m_trackedKeys) {
        const bool isLost = tracked.stage == Stage::Claiming && tracked.uncertainSince
            && *tracked.uncertainSince <= readIssued && !tracked.isQueued && !tracked.isInFlight;
        if (isLost && tracked.claimCopies < m_options.maxClaimCopies) {
            tracked.uncertainSince.reset();
            queueClaim(tracked);
        }
    }
}

void OnceCoordinator::queueReleases(TimePoint now)
{
    if (isLogDown(now)) {
        return;
    }
    for (auto it = m_releaseCandidates.begin(); it != m_releaseCandidates.end();) {
        const std::uint64_t nonce = *it;
        const auto found = m_abandonedClaims.find(nonce);
        const bool isActive = found != m_abandonedClaims.end()
            && m_table->isActive(found->second.rule, found->second.key,
                                 { m_self, m_incarnation, nonce });
        if (!isActive) {
            // Only abandoned claims that are active are released. A copy that reaches the log later
            // makes the nonce a candidate again.
            it = m_releaseCandidates.erase(it);
            continue;
        }
        queueRelease(nonce, found->second);
        ++it;
    }
}

void OnceCoordinator::queueRelease(std::uint64_t nonce, AbandonedClaim &abandoned)
{
    if (abandoned.isReleasePending || m_table->appliedEnd() < abandoned.releaseEnd) {
        return;
    }
    abandoned.isReleasePending = true;
    m_appendQueue.push_back({ ClaimKind::Release, abandoned.rule, abandoned.key, nonce });
}

void OnceCoordinator::append(TimePoint now, OnceActions &actions)
{
    if (m_inFlightAppend || m_appendQueue.empty() || m_startSearch != StartSearch::Found
        || now < m_nextAppend) {
        return;
    }
    InFlightAppend next;
    next.id = AppendId(++m_lastAppend);
    next.sent = now;
    while (!m_appendQueue.empty() && next.entries.size() < m_options.maxBatchEntries) {
        const ClaimEntry entry = m_appendQueue.front();
        m_appendQueue.pop_front();
        const auto found = m_byNonce.find(entry.nonce);
        if (entry.kind == ClaimKind::Claim && found == m_byNonce.end()) {
            continue;
        }
        if (entry.kind == ClaimKind::Claim) {
            TrackedKey &tracked = m_trackedKeys[found->second];
            tracked.isQueued = false;
            if (tracked.stage != Stage::Claiming) {
                continue;
            }
            tracked.isInFlight = true;
            ++tracked.claimCopies;
            tracked.firstSent = tracked.firstSent.value_or(now);
        }
        next.entries.push_back(entry);
    }
    if (next.entries.empty()) {
        return;
    }
    ClaimBatch batch{ m_self, m_incarnation, m_table->advanceHorizon(now), next.entries };
    actions.append = ClaimAppend{ next.id, std::move(batch) };
    m_inFlightAppend = std::move(next);
    m_nextAppend = now + m_options.minAppendInterval;
}

void OnceCoordinator::read(TimePoint now, OnceActions &actions)
{
    if (m_readSent || now < m_nextRead) {
        return;
    }
    m_readSent = now;
    switch (m_startSearch) {
    case StartSearch::FindingEnd:
        actions.read = ClaimRead{ LogOffset(0), 1 };
        return;
    case StartSearch::ReadingLastRecord:
        actions.read = ClaimRead{ m_lastRecordOffset, m_options.maxReadRecords };
        return;
    case StartSearch::Found:
        actions.read = ClaimRead{ m_table->appliedEnd(), m_options.maxReadRecords };
        return;
    }
}

bool OnceCoordinator::isLogDown(TimePoint now) const
{
    const bool isAppendStalled =
        m_inFlightAppend && now - m_inFlightAppend->sent > m_options.stallTimeout;
    const bool isReadStalled = m_readSent && now - *m_readSent > m_options.stallTimeout;
    return now < m_logDownUntil || isAppendStalled || isReadStalled;
}

OnceActions OnceCoordinator::withLogActions(TimePoint now, OnceActions actions)
{
    append(now, actions);
    read(now, actions);
    actions.wakeAt = now + m_options.idleReadInterval;
    if (!m_readSent) {
        actions.wakeAt = std::min(actions.wakeAt, m_nextRead);
    }
    if (!m_appendQueue.empty() && !m_inFlightAppend) {
        actions.wakeAt = std::min(actions.wakeAt, m_nextAppend);
    }
    if (!m_deadlines.empty()) {
        actions.wakeAt = std::min(actions.wakeAt, m_deadlines.begin()->first);
    }
    return actions;
}

} // namespace ivyspar
