#include "coordination/calls/internal/entrycall.h"

#include <algorithm>
#include <utility>

#include "state/http.h"

namespace ivyspar {

namespace {

/// After a crash: by then other daemons have told which of the requests under way there have
/// completed elsewhere, and so have not caused it.
constexpr Duration CRASH_PAUSE = std::chrono::milliseconds(100);
/// Servers that a call may have crashed before it is repeated no more.
constexpr std::size_t MOST_CRASHES = 1;

bool hasCrashedServer(const Verdict &verdict)
{
    return verdict.outcome == Outcome::Unknown && verdict.reason == Reason::ServerCrashed;
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

RouteFeedback feedbackOf(const AttemptEnd &end)
{
    switch (end.verdict.outcome) {
    case Outcome::Answered:
        return isServerError(end.status) ? RouteFeedback::UpstreamError : RouteFeedback::Answered;
    case Outcome::NotRun:
        break;
    case Outcome::Unknown:
        return feedbackOfLoss(end.verdict.reason);
    }
    switch (end.verdict.reason) {
    case Reason::Draining:
    case Reason::ShuttingDown:
    case Reason::NoServer:
        return RouteFeedback::Draining;
    case Reason::ConnectFailed:
        return end.hasLoad ? RouteFeedback::UpstreamError : RouteFeedback::Unreachable;
    case Reason::Cancelled:
    case Reason::Suspected:
    case Reason::Quarantined:
        return RouteFeedback::Cancelled;
    default:
        return RouteFeedback::Refused;
    }
}

} // namespace

EntryCall::EntryCall(EntryPolicies policies, IAttemptLedger &ledger, EntryCallTerms terms)
    : m_policies(policies)
    , m_ledger(ledger)
    , m_terms(std::move(terms))
{
}

EntryActions EntryCall::start(TimePoint now)
{
    if (m_isFinished) {
        return {};
    }
    const ServiceName &service = m_terms.rule.service;
    if (now >= m_terms.deadline) {
        return refuse(now, Reason::DeadlineExceeded, Duration::zero());
    }
    if (m_terms.rank < m_policies.router.floor(now, service)) {
        return refuse(now, Reason::BelowFloor,
                      m_policies.retries.retryAfter(now, service, m_policies.random));
    }
    Verdict failure;
    auto action = sendNext(now, failure);
    if (!action) {
        return refuse(now, failure.reason, failure.retryAfter);
    }
    armHedge(now);
    return { *action };
}

EntryActions EntryCall::onEnd(TimePoint now, AttemptIndex index, const AttemptEnd &end)
{
    Attempt &attempt = m_attempts.at(index.value());
    if (!attempt.isOpen) {
        return {};
    }
    settle(now, attempt, end);
    m_arrivals += end.hasReachedUpstream ? 1 : 0;
    if (m_isFinished) {
        return {};
    }
    if (end.verdict.outcome == Outcome::Answered) {
        if (isServerError(end.status) && mayRetry(now, end, true)) {
            Verdict failure;
            if (auto action = sendNext(now, failure)) {
                return { *action };
            }
        }
        // The other attempt may still bring the whole answer.
        if (isServerError(end.status) && hasOpenAttempt()) {
            m_mayHaveRun = true;
            return {};
        }
        if (!attempt.isHedge && index.value() == 0 && !isServerError(end.status)) {
            m_policies.retries.onSuccess(
                now, m_terms.rule.service,
                std::chrono::duration_cast<Duration>(now - attempt.sentAt));
        }
        return finish(now, index, end.verdict);
    }
    if (end.verdict.outcome == Outcome::Unknown) {
        m_mayHaveRun = true;
    }
    return followUp(now, index, end);
}

EntryActions EntryCall::followUp(TimePoint now, AttemptIndex index, const AttemptEnd &end)
{
    if (!end.holder.value().empty() && !m_isRedirected) {
        return redirectTo(now, end.holder);
    }
    const bool isCrash = hasCrashedServer(end.verdict);
    if (isCrash && postpone(now, index, end)) {
        return {};
    }
    if (!isCrash && mayRetry(now, end, false)) {
        Verdict failure;
        if (auto action = sendNext(now, failure)) {
            return { *action };
        }
    }
    if (hasOpenAttempt()) {
        return {};
    }
    return finish(now, index, end.verdict);
}

/// Sent on to the next server at once, a request that crashes servers would take one after the
/// other within a second. All others that were under way there lose a moment.
bool EntryCall::postpone(TimePoint now, AttemptIndex index, const AttemptEnd &end)
{
    const bool mayRepeat =
        !m_terms.isSingleAttempt && m_terms.rule.repetition == Repetition::Idempotent;
    if (!mayRepeat || hasOpenAttempt() || now + CRASH_PAUSE >= m_terms.deadline) {
        return false;
    }
    m_postponed = Postponed{ now + CRASH_PAUSE, index, end };
    return true;
}

EntryActions EntryCall::resume(TimePoint now)
{
    const Postponed postponed = *m_postponed;
    m_postponed.reset();
    const Assessment current = standing();
    const bool isCleared = current.suspicion == Suspicion::None;
    if ((isCleared || current.crashes <= MOST_CRASHES) && mayRetry(now, postponed.end, false)) {
        Verdict failure;
        if (auto action = sendNext(now, failure)) {
            return { *action };
        }
    }
    return finish(now, postponed.attempt, postponed.end.verdict);
}

Assessment EntryCall::standing() const
{
    return m_terms.standing ? m_terms.standing() : Assessment();
}

EntryActions EntryCall::redirectTo(TimePoint now, const DaemonId &holder)
{
    m_isRedirected = true;
    if (auto action = launch(now, holder, "key-holder")) {
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
    if (now >= m_terms.deadline) {
        // What is open may have started; without the gate's word nothing else can be said.
        const Outcome outcome =
            hasOpenAttempt() || m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        return finish(now, AttemptIndex(0), Verdict{ outcome, Reason::Timeout, Duration::zero() });
    }
    if (m_postponed && now >= m_postponed->until) {
        return resume(now);
    }
    if (!m_hedgeAt || now < *m_hedgeAt) {
        return {};
    }
    m_hedgeAt.reset();
    if (m_postponed || standing().suspicion != Suspicion::None) {
        return {};
    }
    if (!mayReachAnother() || !m_policies.retries.takeHedge(now, m_terms.rule.service)) {
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

TimePoint EntryCall::nextTimer() const
{
    if (m_isFinished) {
        return TimePoint::max();
    }
    TimePoint next = m_terms.deadline;
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
                EntryVerb::Cancel, AttemptIndex(i), m_attempts[i].target, {}, {}, "" });
        }
    }
    // A refusal of the last attempt does not undo that an earlier one may have run: without this
    // the caller would be told "not run" of a request that ran.
    if (verdict.outcome == Outcome::NotRun && (m_mayHaveRun || hasOpenAttempt())) {
        verdict.outcome = Outcome::Unknown;
    }
    const bool canComeBack = verdict.outcome == Outcome::NotRun
        && verdict.reason != Reason::BudgetSpent && verdict.reason != Reason::Quarantined;
    if (canComeBack && verdict.retryAfter == Duration::zero()) {
        verdict.retryAfter =
            m_policies.retries.retryAfter(now, m_terms.rule.service, m_policies.random);
    }
    EntryAction end;
    end.verb = EntryVerb::Finish;
    end.attempt = index;
    end.verdict = verdict;
    actions.push_back(end);
    return actions;
}

std::optional<EntryAction> EntryCall::sendNext(TimePoint now, Verdict &failure)
{
    // Checked before a server is chosen: a choice counts there as an attempt to come.
    if (m_ledger.left().value() < 1 + neededBelow().value()) {
        failure.reason = Reason::BudgetSpent;
        return std::nullopt;
    }
    if (!m_terms.pinned.value().empty()) {
        if (!m_tried.empty()) {
            failure.reason = Reason::NoServer;
            return std::nullopt;
        }
        return launch(now, m_terms.pinned, "ticket");
    }
    const Assessment current = standing();
    if (current.suspicion == Suspicion::Quarantined || current.suspicion == Suspicion::Held) {
        const bool isFinal = current.suspicion == Suspicion::Quarantined;
        failure.reason = isFinal ? Reason::Quarantined : Reason::Suspected;
        failure.retryAfter = current.retryAfter;
        return std::nullopt;
    }
    RouteRequest request{ m_terms.rule.service, m_terms.rank, m_tried };
    if (current.suspicion == Suspicion::Suspect && m_terms.fingerprint) {
        request.fingerprint = m_terms.fingerprint();
    }
    const RouteChoice choice = m_policies.router.choose(now, request, m_policies.random);
    if (choice.daemon.value().empty()) {
        failure.reason = choice.reason;
        failure.retryAfter = choice.retryAfter;
        return std::nullopt;
    }
    auto action = launch(now, choice.daemon, choice.why);
    if (action) {
        action->candidates = choice.candidates;
    }
    return action;
}

AttemptCount EntryCall::neededBelow() const
{
    const std::uint32_t calls = m_terms.rule.calls;
    return AttemptCount(m_terms.isSingleAttempt || calls == 0 ? 0 : calls - 1);
}

std::optional<EntryAction> EntryCall::launch(TimePoint now, const DaemonId &target, const char *why)
{
    const std::uint32_t below = m_terms.rule.attempts.value();
    const AttemptCount wanted(m_terms.isSingleAttempt || below == 0 ? 0 : below - 1);
    AttemptCount granted;
    if (!m_ledger.spend(neededBelow(), wanted, granted)) {
        return std::nullopt;
    }
    m_tried.push_back(target);
    m_attempts.push_back(Attempt{ target, granted, now, true, false });
    m_policies.router.onSent(now, m_terms.rule.service, target);
    EntryAction action;
    action.verb = EntryVerb::Send;
    action.attempt = AttemptIndex(static_cast<std::uint32_t>(m_attempts.size() - 1));
    action.target = target;
    action.granted = granted;
    action.why = why;
    return action;
}

bool EntryCall::mayRetry(TimePoint now, const AttemptEnd &end, bool isFromBelow)
{
    if (m_terms.isSingleAttempt || now >= m_terms.deadline) {
        return false;
    }
    if (!mayReachAnother()) {
        return false;
    }
    RetryQuestion question;
    question.service = m_terms.rule.service;
    question.priority = m_terms.rule.priority;
    question.verdict = end.verdict;
    question.hasArrived = end.hasReachedUpstream;
    question.repetition = m_terms.rule.repetition;
    question.attempts = attempts();
    question.arrivals = m_arrivals;
    question.isFromBelow = isFromBelow;
    question.remaining = std::chrono::duration_cast<Duration>(m_terms.deadline - now);
    return m_policies.retries.shouldRetry(now, question);
}

void EntryCall::settle(TimePoint now, Attempt &attempt, const AttemptEnd &end)
{
    attempt.isOpen = false;
    m_ledger.giveBack(attempt.granted, end.unspent);
    const ServiceName &service = m_terms.rule.service;
    const auto latency = std::chrono::duration_cast<Duration>(now - attempt.sentAt);
    const bool isOwnCancel = m_isFinished && end.verdict.outcome != Outcome::Answered;
    m_policies.router.onEnd(now, service, attempt.target,
                            isOwnCancel ? RouteFeedback::Cancelled : feedbackOf(end), latency);
    if (end.hasLoad) {
        m_policies.router.onLoad(now, service, attempt.target, end.load);
    }
}

void EntryCall::armHedge(TimePoint now)
{
    if (m_terms.isSingleAttempt || m_terms.rule.repetition != Repetition::Idempotent) {
        return;
    }
    const Duration delay = m_policies.retries.hedgeDelay(now, m_terms.rule);
    if (delay > Duration::zero()) {
        m_hedgeAt = now + delay;
    }
}

/// Attempts that are under way count as well: each may be running on a server.
bool EntryCall::mayReachAnother() const
{
    const auto open = std::count_if(m_attempts.begin(), m_attempts.end(),
                                    [](const Attempt &attempt) { return attempt.isOpen; });
    return m_terms.rule.servers == 0
        || m_arrivals + static_cast<std::uint32_t>(open) < m_terms.rule.servers;
}

bool EntryCall::hasOpenAttempt() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const Attempt &a) { return a.isOpen; });
}

} // namespace ivyspar
