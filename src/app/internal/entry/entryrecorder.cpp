#include "app/internal/entry/entryrecorder.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "state/http.h"

namespace ivyspar {

namespace {

Decision makeDecision(const RequestFacts &facts)
{
    Decision decision;
    decision.root = facts.root;
    decision.call = facts.ownId == facts.root ? RootId() : facts.ownId;
    decision.service = facts.service;
    decision.rule = facts.rule;
    decision.rank = facts.rank;
    return decision;
}

/// An essential line about an attempt.
Decision makeDecision(const RequestFacts &facts, DecisionKind kind, AttemptIndex attempt,
                      const DaemonId &target)
{
    Decision decision = makeDecision(facts);
    decision.kind = kind;
    decision.importance = Importance::Essential;
    decision.attempt = attempt.value() + 1;
    decision.choice = target.value();
    return decision;
}

} // namespace

void EntryRecorder::recordAttempt(const RequestFacts &facts, const EntryAction &action,
                                  Duration left)
{
    const bool isFirst = action.attempt.value() == 0;
    const Counter counter = isFirst ? Counter::FirstAttempts
        : action.isHedge            ? Counter::HedgeAttempts
                                    : Counter::RetryAttempts;
    m_observers.metrics.add(counter);
    countCrossing(action);
    const DecisionKind kind = isFirst ? DecisionKind::Route
        : action.isHedge              ? DecisionKind::Hedge
                                      : DecisionKind::Retry;
    const Importance importance = isFirst ? Importance::Routine : Importance::Essential;
    if (m_observers.decisions.wouldDrop(kind, importance, facts.root)) {
        return;
    }
    Decision decision = makeDecision(facts);
    decision.kind = kind;
    decision.importance = importance;
    decision.attempt = action.attempt.value() + 1;
    for (const RouteCandidate &candidate : action.candidates) {
        decision.candidates.push_back(DecisionCandidate{ candidate.daemon, candidate.score });
    }
    decision.choice = action.target.value();
    decision.reason = action.why;
    decision.inputs = action.inputs;
    decision.inputs.push_back({ "left_ms", toMillis(left) });
    m_observers.decisions.write(std::move(decision));
}

void EntryRecorder::countCrossing(const EntryAction &action)
{
    const std::string_view why = action.why;
    if (why == "balance") {
        m_observers.metrics.add(Counter::CallsBalanced);
    } else if (why == "spill") {
        m_observers.metrics.add(Counter::CallsSpilled);
    }
}

void EntryRecorder::recordCancel(const RequestFacts &facts, const EntryAction &action)
{
    m_observers.metrics.add(Counter::Cancels);
    if (m_observers.decisions.wouldDrop(DecisionKind::Cancel, Importance::Essential, facts.root)) {
        return;
    }
    m_observers.decisions.write(
        makeDecision(facts, DecisionKind::Cancel, action.attempt, action.target));
}

void EntryRecorder::recordLost(const RequestFacts &facts, const LostAttempt &lost)
{
    if (m_observers.decisions.wouldDrop(DecisionKind::Lost, Importance::Essential, facts.root)) {
        return;
    }
    Decision decision = makeDecision(facts, DecisionKind::Lost, lost.attempt, lost.target);
    decision.outcome = toText(lost.verdict.outcome);
    decision.reason = toText(lost.verdict.reason);
    m_observers.decisions.write(std::move(decision));
}

void EntryRecorder::recordEnd(const RequestFacts &facts, const RequestResult &result)
{
    if (facts.depth == Depth(0)) {
        m_observers.metrics.countRequest(result.verdict, facts.priority);
        m_observers.metrics.observe(Timing::Request, result.took);
    }
    if (result.verdict.outcome == Outcome::Answered) {
        m_observers.metrics.observe(Timing::AddedByDaemons,
                                    std::max(result.took - result.served, Duration::zero()));
    }
    writeEnd(facts, result);
}

void EntryRecorder::writeEnd(const RequestFacts &facts, const RequestResult &result)
{
    const bool isAnswered = result.verdict.outcome == Outcome::Answered;
    const bool isSuccess = isAnswered && !isServerError(result.status);
    const DecisionKind kind = isAnswered ? DecisionKind::Answer : DecisionKind::Refuse;
    const Importance importance = isSuccess ? Importance::Routine : Importance::Essential;
    if (m_observers.decisions.wouldDrop(kind, importance, facts.root)) {
        return;
    }
    Decision decision = makeDecision(facts);
    decision.kind = kind;
    decision.importance = importance;
    decision.attempt = result.attempts;
    decision.outcome = toText(result.verdict.outcome);
    decision.reason = toText(result.verdict.reason);
    decision.inputs = { { "took_ms", toMillis(result.took) } };
    if (isAnswered) {
        decision.inputs.push_back({ "status", static_cast<double>(result.status) });
        decision.inputs.push_back({ "served_ms", toMillis(result.served) });
    } else {
        decision.inputs.push_back({ "retry_after_ms", toMillis(result.verdict.retryAfter) });
    }
    m_observers.decisions.write(std::move(decision));
}

/// Callers that leave are usual, so their lines may be dropped.
void EntryRecorder::recordUndelivered(RootId root, DeliveryFailure failure)
{
    const bool isCallerGone = failure == DeliveryFailure::ClientGone;
    if (!isCallerGone) {
        m_observers.metrics.add(Counter::ResponsesUndelivered);
    }
    const Importance importance = isCallerGone ? Importance::Routine : Importance::Essential;
    if (m_observers.decisions.wouldDrop(DecisionKind::Undelivered, importance, root)) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Undelivered;
    decision.importance = importance;
    decision.root = root;
    decision.reason = toText(failure);
    m_observers.decisions.write(std::move(decision));
}

void EntryRecorder::recordRejection(const Rejection &rejection)
{
    const EarlyRefusal &refusal = rejection.refusal;
    if (m_observers.decisions.wouldDrop(DecisionKind::Refuse, Importance::Essential,
                                        refusal.root)) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Refuse;
    decision.importance = Importance::Essential;
    decision.root = refusal.root;
    decision.service = rejection.service;
    decision.rule = rejection.rule;
    decision.choice = rejection.choice;
    decision.fingerprint = rejection.fingerprint;
    decision.account = rejection.account;
    decision.outcome = toText(refusal.verdict.outcome);
    decision.reason = toText(refusal.verdict.reason);
    decision.inputs = rejection.inputs;
    decision.inputs.push_back({ "retry_after_ms", toMillis(refusal.verdict.retryAfter) });
    m_observers.decisions.write(std::move(decision));
}

} // namespace ivyspar
