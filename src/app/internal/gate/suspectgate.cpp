#include "app/internal/gate/suspectgate.h"

#include "state/fingerprint.h"

namespace ivyspar {

namespace {

SuspectDecision refuse(const Assessment &assessment)
{
    const bool isFinal = assessment.suspicion == Suspicion::Quarantined;
    const Reason reason = isFinal ? Reason::Quarantined : Reason::Suspected;
    return { SuspectAction::Refuse, Verdict{ Outcome::NotRun, reason, assessment.retryAfter } };
}

} // namespace

SuspectGate::SuspectGate(IQuarantine &quarantine)
    : m_quarantine(quarantine)
{
}

SuspectDecision SuspectGate::admit(CallId call, CallMessage &message, const Announcement &server)
{
    const Assessment assessment = assess(message, server);
    if (assessment.suspicion == Suspicion::None) {
        return {};
    }
    if (assessment.suspicion != Suspicion::Suspect) {
        return refuse(assessment);
    }
    Isolation &isolation = m_isolations[message.service];
    if (isolation.isFree()) {
        return begin(call, message, assessment);
    }
    if (!isolation.hasRoom()) {
        return refuse(assessment);
    }
    isolation.wait(call, message.fingerprint);
    m_suspects[call] = Suspect{ message.service, true, assessment.isTrial };
    return { SuspectAction::Wait, {} };
}

SuspectDecision SuspectGate::start(CallId call, CallMessage &message, const Announcement &server)
{
    const Assessment assessment = assess(message, server);
    if (assessment.suspicion == Suspicion::None) {
        return {};
    }
    if (assessment.suspicion != Suspicion::Suspect) {
        return refuse(assessment);
    }
    if (m_suspects.count(call) > 0) {
        return {};
    }
    return m_isolations[message.service].isFree() ? begin(call, message, assessment)
                                                  : refuse(assessment);
}

SuspectDecision SuspectGate::begin(CallId call, const CallMessage &message,
                                   const Assessment &assessment)
{
    m_isolations[message.service].begin(call);
    m_suspects[call] = Suspect{ message.service, false, assessment.isTrial };
    return {};
}

/// Computes no fingerprint while there are no suspects.
Assessment SuspectGate::assess(CallMessage &message, const Announcement &server) const
{
    if (!m_quarantine.hasSuspects()) {
        return {};
    }
    if (message.fingerprint.value().empty()) {
        message.fingerprint = fingerprintOf(message.account, message.request);
    }
    return m_quarantine.assess(message.fingerprint, kindOf(server));
}

bool SuspectGate::isWaiting(CallId call) const
{
    const auto found = m_suspects.find(call);
    return found != m_suspects.end() && found->second.isWaiting;
}

SuspectRun SuspectGate::runOf(CallId call) const
{
    const auto found = m_suspects.find(call);
    return found == m_suspects.end() ? SuspectRun{} : SuspectRun{ true, found->second.isTrial };
}

bool SuspectGate::onCallEnd(CallId call)
{
    const auto found = m_suspects.find(call);
    if (found == m_suspects.end()) {
        return false;
    }
    m_isolations[found->second.service].leave(call);
    m_suspects.erase(found);
    return true;
}

std::optional<CallId> SuspectGate::takeNext(const ServiceName &service)
{
    const auto next = m_isolations[service].takeNext();
    if (next) {
        m_suspects.erase(*next);
    }
    return next;
}

std::vector<CallId> SuspectGate::takeWaiting(const Fingerprint &fingerprint)
{
    std::vector<CallId> waiting;
    for (auto &[service, isolation] : m_isolations) {
        for (const CallId call : isolation.take(fingerprint)) {
            m_suspects.erase(call);
            waiting.push_back(call);
        }
    }
    return waiting;
}

} // namespace ivyspar
