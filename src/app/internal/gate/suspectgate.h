#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "app/internal/gate/announcement.h"
#include "app/internal/quarantine/iquarantine.h"
#include "coordination/quarantine/isolation.h"
#include "protocol/messages.h"
#include "state/outcome.h"

namespace ivyspar {

enum class SuspectAction {
    Admit,
    Wait, ///< Until no other suspect runs.
    Refuse,
};

struct SuspectDecision
{
    SuspectAction action = SuspectAction::Admit;
    /// Set if the action is `Refuse`.
    Verdict verdict;
};

/// Conditions under which a call runs that matter if its server crashes.
struct SuspectRun
{
    /// It was already a suspect when it was sent, and no other suspect ran at the server.
    bool wasIsolated = false;
    /// It is in quarantine and runs as a trial, to find out whether that is still needed.
    bool isTrial = false;
};

/// Admits suspects, i.e. calls that may have crashed servers, at a gate: quarantined and
/// held ones are refused, and the others run one at a time. Traffic thread only.
class SuspectGate
{
public:
    /// `quarantine` outlives the gate.
    explicit SuspectGate(IQuarantine &quarantine);

    /// Called when the call arrives. Fills in its fingerprint if there are any suspects.
    SuspectDecision admit(CallId call, CallMessage &message, const Announcement &server);
    /// Called right before the call is sent to the server, as it may have become a suspect since it
    /// arrived. Never returns `Wait`.
    SuspectDecision start(CallId call, CallMessage &message, const Announcement &server);
    /// Returns whether the call waits until no other suspect runs.
    bool isWaiting(CallId call) const;
    /// Returns how the call runs here; defaults for a call that is not a suspect.
    SuspectRun runOf(CallId call) const;
    /// Called when the call has ended. Returns whether it was a suspect, so that the next one may
    /// be admitted.
    bool onCallEnd(CallId call);
    /// Removes and returns the next waiting call, which is to be admitted again; nothing if none
    /// waits or a suspect runs.
    std::optional<CallId> takeNext(const ServiceName &service);
    /// Removes and returns all waiting calls with this fingerprint, which are to be admitted again.
    std::vector<CallId> takeWaiting(const Fingerprint &fingerprint);

private:
    struct Suspect
    {
        ServiceName service;
        bool isWaiting = false;
        bool isTrial = false;
    };

    Assessment assess(CallMessage &message, const Announcement &server) const;
    SuspectDecision begin(CallId call, const CallMessage &message, const Assessment &assessment);

    IQuarantine &m_quarantine;
    std::unordered_map<ServiceName, Isolation> m_isolations;
    std::unordered_map<CallId, Suspect> m_suspects;
};

} // namespace ivyspar
