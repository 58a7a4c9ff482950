#include "app/internal/gate/gaterecorder.h"

#include <utility>

#include "state/fingerprint.h"
#include "state/http.h"
#include "state/idvalue.h"

namespace ivyspar {

namespace {

Decision makeDecision(DecisionKind kind, const CallMessage &message)
{
    Decision decision;
    decision.kind = kind;
    decision.root = message.root;
    decision.service = message.service;
    decision.rule = message.rule;
    decision.rank = message.rank;
    return decision;
}

Decision makeNoticeDecision(const Announcement &server, RootId root)
{
    Decision decision;
    decision.kind = DecisionKind::Upstream;
    decision.importance = Importance::Essential;
    decision.root = root;
    decision.service = server.info.service;
    decision.choice = server.run.instance.value();
    decision.reason = "response";
    return decision;
}

const char *outcomeOf(const UpstreamNotice &before, const UpstreamNotice &notice)
{
    if (notice.isLeaving && !before.isLeaving) {
        return "leaving";
    }
    return notice.rateLimit ? "rate-limited" : "rate-limit-lifted";
}

bool isLate(const GateOrderBasis &basis)
{
    return basis.slack && *basis.slack < Duration::zero();
}

const char *reasonOf(const GateOrderBasis &basis)
{
    if (basis.isOwed) {
        return "owed-share";
    }
    if (isLate(basis)) {
        return "late";
    }
    return basis.slack ? "on-time" : "admitted";
}

/// Whether the server ran the call without an error, at its first send and with a single response.
bool hasSimplyRun(const EndedSend &send)
{
    const bool isOnlyResponse =
        send.report.interimResponses == 0 && send.report.foreignResponses == 0;
    return send.verdict.outcome == Outcome::Answered && !isServerError(send.status)
        && send.number == 1 && isOnlyResponse;
}

/// Negative without a limit, as 0 is a limit.
double perSecondOf(const std::optional<RequestRate> &rate)
{
    return rate ? toPerSecond(*rate) : -1;
}

} // namespace

void GateRecorder::recordAdmitted(const GatedCall &call, const GatedOrder &order)
{
    Decision decision = makeDecision(DecisionKind::Admit, call.message);
    decision.reason = reasonOf(order.basis);
    recordState(std::move(decision), call, order);
}

void GateRecorder::recordRefused(const GatedCall &call, Reason reason, const GatedOrder &order)
{
    Decision decision = makeDecision(DecisionKind::Refuse, call.message);
    decision.importance = Importance::Essential;
    decision.reason = toText(reason);
    decision.fingerprint = call.message.fingerprint;
    if (order.rival != RootId()) {
        decision.choice = toHex(order.rival.value());
        decision.detail = "in favour of rule " + order.rivalRule.value() + ", priority "
            + std::to_string(order.rivalPriority.value());
    }
    recordState(std::move(decision), call, order);
}

void GateRecorder::countStart(const GateOrderBasis &basis)
{
    if (isLate(basis)) {
        m_observers.metrics.add(Counter::GateLateStarts);
    }
}

void GateRecorder::countRefusal(const GateOrderBasis &basis)
{
    if (basis.isDisplacedByPriority) {
        m_observers.metrics.add(Counter::GateDisplacements);
    }
}

void GateRecorder::countAnswer(bool isObjectiveMet)
{
    m_observers.metrics.add(isObjectiveMet ? Counter::ObjectivesMet : Counter::ObjectivesMissed);
}

void GateRecorder::recordState(Decision decision, const GatedCall &call, const GatedOrder &order)
{
    decision.inputs = { { "waited_ms", toMillis(call.waited) },
                        { "left_ms", toMillis(call.left) },
                        { "in_flight", static_cast<double>(call.load.inFlight) },
                        { "queued", static_cast<double>(call.load.queued) },
                        { "limit", static_cast<double>(call.load.limit) } };
    if (order.basis.slack) {
        decision.inputs.push_back({ "slack_ms", toMillis(*order.basis.slack) });
    }
    if (call.rateLimit) {
        decision.inputs.push_back({ "rate_per_s", toPerSecond(*call.rateLimit) });
    }
    if (call.serverLoad.isKnown(call.now)) {
        decision.inputs.push_back({ "server_speed", call.serverLoad.relativeSpeed(call.now) });
        decision.inputs.push_back({ "other_calls", call.serverLoad.otherCallsAt(call.now) });
    }
    m_observers.decisions.write(std::move(decision));
}

void GateRecorder::recordSend(const EndedSend &send)
{
    m_observers.metrics.add(send.number == 1 ? Counter::ServerSends : Counter::ServerRepeats);
    m_observers.metrics.add(Counter::ForeignResponses, send.report.foreignResponses);
    if (send.verdict.reason == Reason::UpstreamRefused) {
        m_observers.metrics.add(Counter::ServerRejections);
    }
    const Importance importance = hasSimplyRun(send) ? Importance::Routine : Importance::Essential;
    if (wouldDrop(DecisionKind::Send, importance, send.root)) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Send;
    decision.root = send.root;
    decision.service = send.server.info.service;
    decision.rule = send.rule;
    decision.rank = send.rank;
    decision.importance = importance;
    decision.choice = send.server.run.instance.value();
    decision.outcome = toText(send.verdict.outcome);
    decision.reason = toText(send.verdict.reason);
    decision.detail = send.failure;
    decision.inputs = {
        { "send", static_cast<double>(send.number) },
        { "connection", static_cast<double>(send.report.connection) },
        { "earlier_requests", static_cast<double>(send.report.earlierRequests) },
        { "sent_bytes", static_cast<double>(send.report.sentBytes) },
        { "interim_responses", static_cast<double>(send.report.interimResponses) },
        { "foreign_responses", static_cast<double>(send.report.foreignResponses) },
        { "status", static_cast<double>(send.status) },
        { "took_ms", toMillis(send.took) },
    };
    m_observers.decisions.write(std::move(decision));
}

void GateRecorder::recordRun(const CallMessage &message, const UpstreamId &instance,
                             const Verdict &verdict, std::uint16_t status, Duration served)
{
    const bool isAnswered = verdict.outcome == Outcome::Answered;
    const bool isSuccess = isAnswered && !isServerError(status);
    const Importance importance = isSuccess ? Importance::Routine : Importance::Essential;
    if (wouldDrop(DecisionKind::Run, importance, message.root)) {
        return;
    }
    Decision decision = makeDecision(DecisionKind::Run, message);
    decision.importance = importance;
    decision.choice = instance.value();
    decision.outcome = toText(verdict.outcome);
    decision.reason = toText(verdict.reason);
    decision.inputs = { { "served_ms", toMillis(served) } };
    if (verdict.outcome == Outcome::Unknown) {
        decision.fingerprint = fingerprintOf(message.account, message.request);
    }
    if (isAnswered) {
        decision.inputs.push_back({ "status", static_cast<double>(status) });
    }
    m_observers.decisions.write(std::move(decision));
}

void GateRecorder::recordNotice(const Announcement &server, RootId root,
                                const UpstreamNotice &before, const UpstreamNotice &notice,
                                const char *source)
{
    m_observers.metrics.add(Counter::NoticeChanges);
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision = makeNoticeDecision(server, root);
    decision.outcome = outcomeOf(before, notice);
    decision.reason = source;
    decision.inputs = { { "rate_per_s", perSecondOf(notice.rateLimit) },
                        { "rate_before_per_s", perSecondOf(before.rateLimit) } };
    m_observers.decisions.write(std::move(decision));
}

void GateRecorder::recordBadStatement(const Announcement &server, RootId root, const char *outcome)
{
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision = makeNoticeDecision(server, root);
    decision.outcome = outcome;
    m_observers.decisions.write(std::move(decision));
}

void GateRecorder::recordCrash(const Announcement &server, const UpstreamRunName &run)
{
    m_observers.metrics.add(Counter::ServerCrashes);
    if (!m_observers.decisions.isEnabled()) {
        return;
    }
    Decision decision;
    decision.kind = DecisionKind::Upstream;
    decision.importance = Importance::Essential;
    decision.service = server.info.service;
    decision.choice = server.run.instance.value();
    decision.outcome = "crashed";
    decision.reason = "no-connection";
    decision.detail = run.value();
    m_observers.decisions.write(std::move(decision));
}

} // namespace ivyspar
