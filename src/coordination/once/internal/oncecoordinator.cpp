#include "coordination/once/internal/oncecoordinator.h"

#include <algorithm>

#include <xxhash.h>

namespace ivyspar {

namespace {

Verdict notRunVerdict(Reason reason, Duration retryAfter = Duration(0))
{
    Verdict verdict;
    verdict.outcome = Outcome::NotRun;
    verdict.reason = reason;
    verdict.retryAfter = retryAfter;
    return verdict;
}

Verdict unknownVerdict(Reason reason)
{
    Verdict verdict;
    verdict.outcome = Outcome::Unknown;
    verdict.reason = reason;
    return verdict;
}

OnceReply makeReply(CallId call, const Verdict &verdict)
{
    OnceReply reply;
    reply.call = call;
    reply.verdict = verdict;
    return reply;
}

} // namespace

RequestFingerprint makeFingerprint(const HttpRequest &request)
{
    std::string text = request.method + ' ' + request.target + '\n';
    text += request.body;
    return RequestFingerprint(XXH3_64bits(text.data(), text.size()));
}

Ret validateOnceOptions(const OnceOptions &options, Duration logRetention)
{
    if (logRetention <= options.window()) {
        return makeError(
            ErrorCode::InvalidArgument,
            "log retention is too short: claims must be kept for more than the claim window of "
                + std::to_string(options.window().count()) + " us, but the log keeps them for "
                + std::to_string(logRetention.count()) + " us");
    }
    return {};
}

std::unique_ptr<IOnceCoordinator> makeOnceCoordinator(TimePoint now, const DaemonId &self,
                                                      Incarnation incarnation,
                                                      std::uint64_t hashSeed,
                                                      const OnceOptions &options)
{
    return std::make_unique<OnceCoordinator>(now, self, incarnation, hashSeed, options);
}

OnceCoordinator::OnceCoordinator(TimePoint now, const DaemonId &self, Incarnation incarnation,
                                 std::uint64_t hashSeed, const OnceOptions &options)
    : m_options(options)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_table(makeClaimTable(options, hashSeed))
    , m_outcomeCache(options.maxOutcomeCacheBytes, options.maxOutcomeBytes)
    , m_nextAppend(now)
    , m_nextRead(now)
    , m_logDownUntil(now)
{
}

OnceActions OnceCoordinator::request(TimePoint now, const OnceRequest &request)
{
    OnceActions actions;
    m_table->advanceHorizon(now);
    const auto known = m_byKey.find({ request.rule, request.key });
    if (known != m_byKey.end()) {
        return withLogActions(now, join(m_trackedKeys[known->second], known->second, request));
    }
    std::optional<OnceReply> refusal = refuseEarly(now, request);
    if (!refusal) {
        refusal = refuseIfHeld(request);
    }
    if (refusal) {
        actions.replies.push_back(*refusal);
        return withLogActions(now, std::move(actions));
    }
    const TrackedKeyId id = ++m_lastTrackedKeyId;
    TrackedKey &tracked = m_trackedKeys[id];
    tracked.rule = request.rule;
    tracked.key = request.key;
    tracked.fingerprint = request.fingerprint;
    m_byKey[{ tracked.rule, tracked.key }] = id;
    tracked.nonce = ++m_lastNonce;
    m_byNonce[tracked.nonce] = id;
    addWaiter(id, tracked, request);
    queueClaim(tracked);
    return withLogActions(now, std::move(actions));
}

std::optional<OnceReply> OnceCoordinator::refuseEarly(TimePoint now,
                                                      const OnceRequest &request) const
{
    if (request.key.value().empty() || request.key.value().size() > m_options.maxKeyBytes) {
        return makeReply(request.call, notRunVerdict(Reason::BadRequest));
    }
    if (now >= request.deadline) {
        return makeReply(request.call, notRunVerdict(Reason::DeadlineExceeded));
    }
    if (isLogDown(now)) {
        return makeReply(request.call, notRunVerdict(Reason::LogUnavailable, m_options.logBackoff));
    }
    if (m_trackedKeys.size() >= m_options.maxTrackedKeys || m_table->isOverCapacity()) {
        return makeReply(request.call, notRunVerdict(Reason::QueueFull, m_options.logBackoff));
    }
    return std::nullopt;
}

/// An append is pointless if the log already contains another holder's claim.
std::optional<OnceReply> OnceCoordinator::refuseIfHeld(const OnceRequest &request) const
{
    const auto holder = m_table->holder(request.rule, request.key);
    if (!holder) {
        return std::nullopt;
    }
    const bool isOwn = holder->daemon == m_self && holder->incarnation == m_incarnation;
    if (isOwn && m_abandonedClaims.count(holder->nonce) != 0) {
        return std::nullopt;
    }
    return heldKeyReply(request.call, *holder);
}

OnceActions OnceCoordinator::join(TrackedKey &tracked, TrackedKeyId id, const OnceRequest &request)
{
    OnceActions actions;
    if (tracked.fingerprint != request.fingerprint) {
        actions.replies.push_back(makeReply(request.call, notRunVerdict(Reason::BadRequest)));
        return actions;
    }
    if (tracked.stage != Stage::Done) {
        addWaiter(id, tracked, request);
        return actions;
    }
    StoredOutcome stored = m_outcomeCache.get(id);
    OnceReply reply = makeReply(request.call, stored.verdict);
    reply.response = std::move(stored.response);
    reply.holder = m_self;
    actions.replies.push_back(std::move(reply));
    return actions;
}

void OnceCoordinator::addWaiter(TrackedKeyId id, TrackedKey &tracked, const OnceRequest &request)
{
    tracked.waiters.push_back({ request.call, request.deadline });
    m_byCall[request.call] = id;
    m_deadlines.emplace(request.deadline, request.call);
}

/// If the process was suspended after the claim, other daemons may ignore the claim by now and have
/// run its key. Both limits are far below the time after which others ignore the claim, and they
/// are checked in the same step that sends.
bool OnceCoordinator::start(TimePoint now, CallId call)
{
    TrackedKeyId id = 0;
    TrackedKey *tracked = findByCall(call, id);
    if (!tracked || !tracked->grantedAttempt || tracked->grantedAttempt->call != call
        || tracked->isStarted) {
        return false;
    }
    if (now >= tracked->grantedAttempt->deadline
        || now - *tracked->firstSent >= m_options.startWindow) {
        return false;
    }
    tracked->isStarted = true;
    return true;
}

OnceActions OnceCoordinator::finished(TimePoint now, CallId call, const Verdict &verdict,
                                      const HttpResponse &response)
{
    OnceActions actions;
    TrackedKeyId id = 0;
    TrackedKey *tracked = findByCall(call, id);
    if (!tracked || !tracked->grantedAttempt || tracked->grantedAttempt->call != call) {
        return withLogActions(now, std::move(actions));
    }
    m_byCall.erase(call);
    tracked->grantedAttempt.reset();
    tracked->stage = Stage::Done;
    m_outcomeCache.put(id, { verdict, response });
    for (const Attempt &waiter : std::exchange(tracked->waiters, {})) {
        m_byCall.erase(waiter.call);
        m_deadlines.erase({ waiter.deadline, waiter.call });
        OnceReply reply = makeReply(waiter.call, verdict);
        reply.response = response;
        reply.holder = m_self;
        actions.replies.push_back(std::move(reply));
    }
    return withLogActions(now, std::move(actions));
}

OnceActions OnceCoordinator::notRun(TimePoint now, CallId call)
{
    OnceActions actions;
    TrackedKeyId id = 0;
    TrackedKey *tracked = findByCall(call, id);
    if (tracked && tracked->grantedAttempt && tracked->grantedAttempt->call == call) {
        m_byCall.erase(call);
        tracked->grantedAttempt.reset();
        tracked->isStarted = false;
        grantNext(now, id, actions);
    }
    return withLogActions(now, std::move(actions));
}

OnceActions OnceCoordinator::cancel(TimePoint now, CallId call)
{
    TrackedKeyId id = 0;
    TrackedKey *tracked = findByCall(call, id);
    if (!tracked) {
        return withLogActions(now, {});
    }
    if (tracked->grantedAttempt && tracked->grantedAttempt->call == call) {
        return tracked->isStarted ? withLogActions(now, {}) : notRun(now, call);
    }
    removeWaiter(*tracked, call);
    if (tracked->stage == Stage::Claiming && tracked->waiters.empty()) {
        dropKey(now, id);
    }
    return withLogActions(now, {});
}

void OnceCoordinator::setMember(const DaemonId &daemon, std::optional<Incarnation> incarnation)
{
    m_members[daemon] = incarnation;
}

OnceActions OnceCoordinator::tick(TimePoint now)
{
    OnceActions actions;
    m_table->advanceHorizon(now);
    expireWaiters(now, actions);
    expireKeys(now, actions);
    queueReleases(now);
    return withLogActions(now, std::move(actions));
}

/// Grants the next attempt, or releases the claim if there is none.
void OnceCoordinator::grantNext(TimePoint now, TrackedKeyId id, OnceActions &actions)
{
    TrackedKey &tracked = m_trackedKeys[id];
    const bool isInTime = now - *tracked.firstSent < m_options.startWindow;
    while (isInTime && !tracked.waiters.empty()) {
        const Attempt next = tracked.waiters.front();
        tracked.waiters.erase(tracked.waiters.begin());
        m_deadlines.erase({ next.deadline, next.call });
        if (now < next.deadline) {
            tracked.grantedAttempt = next;
            actions.proceed.push_back(next.call);
            return;
        }
        m_byCall.erase(next.call);
        actions.replies.push_back(makeReply(next.call, notRunVerdict(Reason::DeadlineExceeded)));
    }
    refuseAll(tracked, notRunVerdict(Reason::DeadlineExceeded), DaemonId(), actions);
    dropKey(now, id);
}

void OnceCoordinator::refuseAll(TrackedKey &tracked, const Verdict &verdict, const DaemonId &holder,
                                OnceActions &actions)
{
    for (const Attempt &waiter : std::exchange(tracked.waiters, {})) {
        m_byCall.erase(waiter.call);
        m_deadlines.erase({ waiter.deadline, waiter.call });
        OnceReply reply = makeReply(waiter.call, verdict);
        reply.holder = holder;
        actions.replies.push_back(std::move(reply));
    }
}

void OnceCoordinator::dropKey(TimePoint now, TrackedKeyId id)
{
    const auto found = m_trackedKeys.find(id);
    abandonClaim(now, found->second);
    m_byKey.erase({ found->second.rule, found->second.key });
    m_trackedKeys.erase(found);
    queueReleases(now);
}

/// Nothing will run under this nonce from here on. Its claim may be in the log, or reach it later,
/// and would block the key; it is released as soon as it appears.
void OnceCoordinator::abandonClaim(TimePoint now, const TrackedKey &tracked)
{
    m_byNonce.erase(tracked.nonce);
    if (tracked.claimCopies == 0) {
        return;
    }
    AbandonedClaim abandoned;
    abandoned.rule = tracked.rule;
    abandoned.key = tracked.key;
    abandoned.since = now;
    if (m_abandonedClaims.size() >= m_options.maxTrackedKeys) {
        // The oldest one is dropped: its key, if claimed, stays blocked for the rest of the window.
        m_abandonedClaims.erase(m_abandonedClaims.begin());
    }
    m_abandonedClaims.emplace(tracked.nonce, std::move(abandoned));
    m_releaseCandidates.insert(tracked.nonce);
}

void OnceCoordinator::removeWaiter(TrackedKey &tracked, CallId call)
{
    const auto found = std::find_if(tracked.waiters.begin(), tracked.waiters.end(),
                                    [call](const Attempt &waiter) { return waiter.call == call; });
    if (found == tracked.waiters.end()) {
        return;
    }
    m_deadlines.erase({ found->deadline, call });
    m_byCall.erase(call);
    tracked.waiters.erase(found);
}

void OnceCoordinator::expireWaiters(TimePoint now, OnceActions &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const CallId call = m_deadlines.begin()->second;
        TrackedKeyId id = 0;
        TrackedKey &tracked = *findByCall(call, id);
        removeWaiter(tracked, call);
        if (tracked.stage == Stage::Claiming) {
            actions.replies.push_back(makeReply(call, notRunVerdict(Reason::LogUnavailable)));
        } else {
            // This attempt did not run, but another one with the key may have.
            OnceReply reply = makeReply(call, unknownVerdict(Reason::KeyBusy));
            reply.holder = m_self;
            actions.replies.push_back(std::move(reply));
        }
        if (tracked.stage == Stage::Claiming && tracked.waiters.empty()) {
            dropKey(now, id);
        }
    }
}

/// After the claim window all daemons ignore the claim, so its state can be removed.
void OnceCoordinator::expireKeys(TimePoint now, OnceActions &actions)
{
    while (!m_expiry.empty() && m_expiry.front().first <= now) {
        const TrackedKeyId id = m_expiry.front().second;
        m_expiry.pop_front();
        const auto found = m_trackedKeys.find(id);
        if (found == m_trackedKeys.end()) {
            continue;
        }
        TrackedKey &tracked = found->second;
        refuseAll(tracked, unknownVerdict(Reason::KeyBusy), m_self, actions);
        if (tracked.grantedAttempt) {
            m_byCall.erase(tracked.grantedAttempt->call);
        }
        m_outcomeCache.erase(id);
        m_byNonce.erase(tracked.nonce);
        m_byKey.erase({ tracked.rule, tracked.key });
        m_trackedKeys.erase(found);
    }
    while (!m_abandonedClaims.empty()
           && now - m_abandonedClaims.begin()->second.since > 2 * m_options.window()) {
        m_abandonedClaims.erase(m_abandonedClaims.begin());
    }
}

OnceReply OnceCoordinator::heldKeyReply(CallId call, const ClaimHolder &holder) const
{
    const Reason reason = isHolderGone(holder) ? Reason::KeyHolderGone : Reason::KeyBusy;
    OnceReply reply = makeReply(call, unknownVerdict(reason));
    reply.holder = holder.daemon;
    return reply;
}

bool OnceCoordinator::isHolderGone(const ClaimHolder &holder) const
{
    if (holder.daemon == m_self) {
        // The key is not tracked, or the attempt would have joined it.
        return true;
    }
    const auto member = m_members.find(holder.daemon);
    if (member == m_members.end()) {
        return false;
    }
    return !member->second || *member->second > holder.incarnation;
}

OnceCoordinator::TrackedKey *OnceCoordinator::findByCall(CallId call, TrackedKeyId &id)
{
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end()) {
        return nullptr;
    }
    id = found->second;
    const auto tracked = m_trackedKeys.find(id);
    return tracked == m_trackedKeys.end() ? nullptr : &tracked->second;
}

} // namespace ivyspar
