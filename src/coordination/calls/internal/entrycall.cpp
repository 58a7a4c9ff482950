#include "coordination/calls/internal/entrycall.h"

#include <algorithm>
#include <utility>

#include "state/http.h"

namespace ivyspar {

namespace {

/// Delay of a retry after a crash. By then other daemons have reported which of the requests in
/// flight at the server have completed elsewhere, and so did not cause the crash.
constexpr Duration CRASH_RETRY_DELAY = std::chrono::milliseconds(100);
/// A call that may have crashed more servers than this is not retried, unless it was cleared.
constexpr std::size_t MAX_CRASHES = 1;

bool hasCrashedServer(const Verdict &verdict)
{
    return verdict.outcome == Outcome::Unknown && verdict.reason == Reason::ServerCrashed;
}

/// Whether a gate keeps the call from its server because of what it did to others.
bool isKeptFromServer(const Verdict &verdict)
{
    const bool isHeld =
        verdict.reason == Reason::Suspected && verdict.retryAfter > Duration::zero();
    return verdict.outcome == Outcome::NotRun && (verdict.reason == Reason::Quarantined || isHeld);
}

RouteFeedback feedbackOfLoss(Reason reason)
{
    switch (reason) {
    case Reason::BrokenAnswer:
    case Reason::ServerCrashed:
        return RouteFeedback::UpstreamError;
    case Reason::LinkLost:
        return RouteFeedback::Unreachable;
    default:
        return RouteFeedback::TimedOut;
    }
}

RouteFeedback feedbackOf(const AttemptResult &result)
{
    switch (result.verdict.outcome) {
    case Outcome::Answered:
        return isServerError(result.status) ? RouteFeedback::UpstreamError
                                            : RouteFeedback::Answered;
    case Outcome::NotRun:
        break;
    case Outcome::Unknown:
        return feedbackOfLoss(result.verdict.reason);
    }
    switch (result.verdict.reason) {
    case Reason::Draining:
    case Reason::ShuttingDown:
    case Reason::NoServer:
        return RouteFeedback::Draining;
    case Reason::RateLimited:
        return RouteFeedback::RateLimited;
    case Reason::ConnectFailed:
        return result.hasLoad ? RouteFeedback::UpstreamError : RouteFeedback::Unreachable;
    case Reason::Cancelled:
    case Reason::Suspected:
    case Reason::Quarantined:
        return RouteFeedback::Cancelled;
    default:
        return RouteFeedback::Refused;
    }
}

} // namespace

EntryCall::EntryCall(EntryPolicies policies, IAttemptBudget &budget, EntryCallOptions options)
    : m_policies(policies)
    , m_budget(budget)
    , m_options(std::move(options))
{
}

EntryActions EntryCall::start(TimePoint now)
{
    if (m_isFinished) {
        return {};
    }
    const ServiceName &service = m_options.rule.service;
    if (now >= m_options.deadline) {
        return refuse(now, Reason::DeadlineExceeded, Duration::zero());
    }
    if (m_options.rank < m_policies.router.floor(now, service)) {
        return refuse(now, Reason::BelowFloor,
                      m_policies.retries.retryAfter(now, service, m_policies.random));
    }
    Verdict failure;
    auto action = sendNext(now, failure);
    if (!action) {
        return refuse(now, failure.reason, failure.retryAfter);
    }
    scheduleHedge(now);
    return { *action };
}

EntryActions EntryCall::onEnd(TimePoint now, AttemptIndex index, const AttemptResult &result)
{
    Attempt &attempt = m_attempts.at(index.value());
    if (!attempt.isOpen) {
        return {};
    }
    recordEnd(now, attempt, result);
    m_upstreamAttempts += result.hasReachedUpstream ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || result.verdict.outcome != Outcome::NotRun;
    if (m_isFinished) {
        return {};
    }
    if (result.verdict.outcome == Outcome::Answered) {
        if (isServerError(result.status) && mayRetry(now, result, true)) {
            Verdict failure;
            if (auto action = sendNext(now, failure)) {
                return { *action };
            }
        }
        // The other attempt may still succeed.
        if (isServerError(result.status) && hasOpenAttempt()) {
            return {};
        }
        if (!attempt.isHedge && index.value() == 0 && !isServerError(result.status)) {
            m_policies.retries.onSuccess(
                now, m_options.rule.service,
                std::chrono::duration_cast<Duration>(now - attempt.sentAt));
        }
        return finish(now, index, result.verdict);
    }
    return handleFailure(now, index, result);
}

EntryActions EntryCall::handleFailure(TimePoint now, AttemptIndex index,
                                      const AttemptResult &result)
{
    if (!result.holder.value().empty() && !m_isRedirected) {
        return redirectTo(now, result.holder);
    }
    const bool isCrash = hasCrashedServer(result.verdict);
    if (isCrash && postponeRetry(now, index, result)) {
        return {};
    }
    if (!isCrash && !isKeptEverywhere(result.verdict) && mayRetry(now, result, false)) {
        Verdict failure;
        if (auto action = sendNext(now, failure)) {
            return { *action };
        }
    }
    if (hasOpenAttempt()) {
        return {};
    }
    return finish(now, index, result.verdict);
}

/// A gate knows of a crash at its server before the other daemons do: another server of that kind
/// would crash as well. A trial at servers of another kind is decided here.
bool EntryCall::isKeptEverywhere(const Verdict &verdict) const
{
    if (!isKeptFromServer(verdict)) {
        return false;
    }
    const Assessment assessment = assess();
    return assessment.suspicion != Suspicion::None && !assessment.isTrial;
}

/// Retried at once, a request that crashes servers would crash one after the other within a second.
/// The other requests that were in flight at the server lose only this delay.
bool EntryCall::postponeRetry(TimePoint now, AttemptIndex index, const AttemptResult &result)
{
    const bool mayRepeat =
        !m_options.isSingleAttempt && m_options.rule.repetition == Repetition::Idempotent;
    if (!mayRepeat || hasOpenAttempt() || now + CRASH_RETRY_DELAY >= m_options.deadline) {
        return false;
    }
    m_postponed = Postponed{ now + CRASH_RETRY_DELAY, index, result };
    return true;
}

EntryActions EntryCall::resumeRetry(TimePoint now)
{
    const Postponed postponed = *m_postponed;
    m_postponed.reset();
    const Assessment assessment = assess();
    const bool isCleared = assessment.suspicion == Suspicion::None;
    if ((isCleared || assessment.crashes <= MAX_CRASHES)
        && mayRetry(now, postponed.result, false)) {
        Verdict failure;
        if (auto action = sendNext(now, failure)) {
            return { *action };
        }
    }
    return finish(now, postponed.attempt, postponed.result.verdict);
}

Assessment EntryCall::assess() const
{
    return m_options.assess ? m_options.assess() : Assessment();
}

EntryActions EntryCall::redirectTo(TimePoint now, const DaemonId &holder)
{
    m_isRedirected = true;
    if (auto action = sendTo(now, holder, "key-holder")) {
        return { *action };
    }
    return finish(now, AttemptIndex(0),
                  Verdict{ Outcome::Unknown, Reason::BudgetSpent, Duration::zero() });
}

EntryActions EntryCall::onTimer(TimePoint now)
{
    if (m_isFinished) {
        return {};
    }
    if (now >= m_options.deadline) {
        // An open attempt may have started; without the gate's answer its outcome is unknown.
        const Outcome outcome =
            hasOpenAttempt() || m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        return finish(now, AttemptIndex(0), Verdict{ outcome, Reason::Timeout, Duration::zero() });
    }
    if (m_postponed && now >= m_postponed->until) {
        return resumeRetry(now);
    }
    if (!m_hedgeAt || now < *m_hedgeAt) {
        return {};
    }
    m_hedgeAt.reset();
    if (m_postponed || assess().suspicion != Suspicion::None) {
        return {};
    }
    if (!mayReachAnother() || !m_policies.retries.tryTakeHedgeToken(now, m_options.rule.service)) {
        return {};
    }
    Verdict failure;
    auto action = sendNext(now, failure);
    if (!action) {
        return {};
    }
    m_attempts.back().isHedge = true;
    action->isHedge = true;
    return { *action };
}

EntryActions EntryCall::onCallerGone(TimePoint now)
{
    if (m_isFinished) {
        return {};
    }
    return finish(now, AttemptIndex(0),
                  Verdict{ Outcome::Unknown, Reason::Cancelled, Duration::zero() });
}

/// `finish` turns the outcome into unknown if an attempt is open or may have run.
EntryActions EntryCall::onStop(TimePoint now)
{
    if (m_isFinished) {
        return {};
    }
    return refuse(now, Reason::ShuttingDown, Duration::zero());
}

TimePoint EntryCall::nextTimer() const
{
    if (m_isFinished) {
        return TimePoint::max();
    }
    TimePoint next = m_options.deadline;
    if (m_hedgeAt) {
        next = std::min(next, *m_hedgeAt);
    }
    return m_postponed ? std::min(next, m_postponed->until) : next;
}

std::uint32_t EntryCall::attempts() const
{
    return static_cast<std::uint32_t>(m_attempts.size());
}

EntryActions EntryCall::refuse(TimePoint now, Reason reason, Duration retryAfter)
{
    return finish(now, AttemptIndex(0), Verdict{ Outcome::NotRun, reason, retryAfter });
}

EntryActions EntryCall::finish(TimePoint now, AttemptIndex index, Verdict verdict)
{
    m_isFinished = true;
    m_hedgeAt.reset();
    m_postponed.reset();
    EntryActions actions;
    for (std::uint32_t i = 0; i < m_attempts.size(); ++i) {
        if (m_attempts[i].isOpen) {
            actions.push_back(EntryAction{
                EntryActionType::Cancel, AttemptIndex(i), m_attempts[i].target, {}, {}, "" });
        }
    }
    // The last attempt was refused, but an earlier one may have run: without this the caller would
    // be told "not run" about a request that ran.
    if (verdict.outcome == Outcome::NotRun && (m_mayHaveRun || hasOpenAttempt())) {
        verdict.outcome = Outcome::Unknown;
    }
    const bool canComeBack = verdict.outcome == Outcome::NotRun
        && verdict.reason != Reason::BudgetSpent && verdict.reason != Reason::Quarantined;
    if (canComeBack && verdict.retryAfter == Duration::zero()) {
        verdict.retryAfter =
            m_policies.retries.retryAfter(now, m_options.rule.service, m_policies.random);
    }
    EntryAction action;
    action.type = EntryActionType::Finish;
    action.attempt = index;
    action.verdict = verdict;
    actions.push_back(action);
    return actions;
}

std::optional<EntryAction> EntryCall::sendNext(TimePoint now, Verdict &failure)
{
    // Checked first, so that no server is chosen for an attempt that cannot be sent.
    if (m_budget.left().value() < 1 + neededForInnerCalls().value()) {
        failure.reason = Reason::BudgetSpent;
        return std::nullopt;
    }
    if (!m_options.pinned.value().empty()) {
        if (!m_tried.empty()) {
            failure.reason = Reason::NoServer;
            return std::nullopt;
        }
        return sendTo(now, m_options.pinned, "ticket");
    }
    const Assessment assessment = assess();
    if (assessment.suspicion == Suspicion::Quarantined || assessment.suspicion == Suspicion::Held) {
        const bool isFinal = assessment.suspicion == Suspicion::Quarantined;
        failure.reason = isFinal ? Reason::Quarantined : Reason::Suspected;
        failure.retryAfter = assessment.retryAfter;
        return std::nullopt;
    }
    RouteRequest request{ m_options.rule.service, m_options.rank, m_tried };
    if (assessment.suspicion == Suspicion::Suspect && m_options.fingerprint) {
        request.fingerprint = m_options.fingerprint();
    }
    const RouteChoice choice = m_policies.router.choose(now, request, m_policies.random);
    if (choice.daemon.value().empty()) {
        failure.reason = choice.reason;
        failure.retryAfter = choice.retryAfter;
        return std::nullopt;
    }
    auto action = sendTo(now, choice.daemon, choice.why);
    if (action) {
        action->candidates = choice.candidates;
        action->mayGoElsewhere = mayGoElsewhere(choice.candidates);
        m_attempts.back().mayGoElsewhere = action->mayGoElsewhere;
        action->inputs = choice.inputs;
    }
    return action;
}

AttemptCount EntryCall::neededForInnerCalls() const
{
    const std::uint32_t calls = m_options.rule.calls;
    return AttemptCount(m_options.isSingleAttempt || calls == 0 ? 0 : calls - 1);
}

std::optional<EntryAction> EntryCall::sendTo(TimePoint now, const DaemonId &target, const char *why)
{
    const std::uint32_t below = m_options.rule.attempts.value();
    const AttemptCount wanted(m_options.isSingleAttempt || below == 0 ? 0 : below - 1);
    AttemptCount granted;
    if (!m_budget.spend(neededForInnerCalls(), wanted, granted)) {
        return std::nullopt;
    }
    m_tried.push_back(target);
    m_attempts.push_back(Attempt{ target, granted, now, true, false });
    m_policies.router.onSent(now, m_options.rule.service, target);
    EntryAction action;
    action.type = EntryActionType::Send;
    action.attempt = AttemptIndex(static_cast<std::uint32_t>(m_attempts.size() - 1));
    action.target = target;
    action.granted = granted;
    action.why = why;
    return action;
}

bool EntryCall::mayRetry(TimePoint now, const AttemptResult &result, bool isUpstreamError)
{
    if (m_options.isSingleAttempt || now >= m_options.deadline) {
        return false;
    }
    if (!mayReachAnother()) {
        return false;
    }
    RetryQuery query;
    query.service = m_options.rule.service;
    query.priority = m_options.rule.priority;
    query.verdict = result.verdict;
    query.hasReachedUpstream = result.hasReachedUpstream;
    query.repetition = m_options.rule.repetition;
    query.attempts = attempts();
    query.upstreamAttempts = m_upstreamAttempts;
    query.isUpstreamError = isUpstreamError;
    query.isPassedOn = m_attempts.size() == 1 && m_attempts.front().mayGoElsewhere
        && result.verdict.reason == Reason::QueueFull && result.load.speed != SpeedShare()
        && result.load.queued < result.load.limit;
    query.remaining = std::chrono::duration_cast<Duration>(m_options.deadline - now);
    return m_policies.retries.shouldRetry(now, query);
}

void EntryCall::recordEnd(TimePoint now, Attempt &attempt, const AttemptResult &result)
{
    attempt.isOpen = false;
    m_budget.returnUnspent(attempt.granted, result.unspent);
    const ServiceName &service = m_options.rule.service;
    const auto latency = std::chrono::duration_cast<Duration>(now - attempt.sentAt);
    const bool isOwnCancel = m_isFinished && result.verdict.outcome != Outcome::Answered;
    m_policies.router.onEnd(now, service, attempt.target,
                            isOwnCancel ? RouteFeedback::Cancelled : feedbackOf(result), latency,
                            result.hasLoad ? result.load.speed : SpeedShare());
    if (result.hasLoad) {
        m_policies.router.onLoad(now, service, attempt.target, result.load);
    }
    if (result.notice) {
        m_policies.router.onNotice(now, service, attempt.target, *result.notice);
    }
}

void EntryCall::scheduleHedge(TimePoint now)
{
    if (m_options.isSingleAttempt || m_options.rule.repetition != Repetition::Idempotent) {
        return;
    }
    const Duration delay = m_policies.retries.hedgeDelay(now, m_options.rule);
    if (delay > Duration::zero()) {
        m_hedgeAt = now + delay;
    }
}

/// Open attempts count as well: each may be running on a server.
bool EntryCall::mayReachAnother() const
{
    const auto open = std::count_if(m_attempts.begin(), m_attempts.end(),
                                    [](const Attempt &attempt) { return attempt.isOpen; });
    return m_options.rule.servers == 0
        || m_upstreamAttempts + static_cast<std::uint32_t>(open) < m_options.rule.servers;
}

bool EntryCall::mayGoElsewhere(const std::vector<RouteCandidate> &candidates) const
{
    const bool isFirst = m_attempts.size() == 1;
    const AttemptCount needed(1 + neededForInnerCalls().value());
    return isFirst && !m_options.isSingleAttempt && candidates.size() > 1
        && m_budget.left() >= needed;
}

bool EntryCall::hasOpenAttempt() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const Attempt &a) { return a.isOpen; });
}

} // namespace ivyspar
