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
    /// Of a refusal.
    Verdict verdict;
};

/// How a call runs, as far as its server's crash would tell of it.
struct SuspectRun
{
    /// Alone among suspects.
    bool isAlone = false;
    /// It is in quarantine, and run to see whether that is still needed.
    bool isTrial = false;
};

/// Decides at a gate about calls that may have crashed servers: those in quarantine are refused,
/// and of the others one at a time runs. Traffic thread only.
class SuspectGate
{
public:
    /// `quarantine` outlives the object.
    explicit SuspectGate(IQuarantine &quarantine);

    /// The call has arrived. Its fingerprint is filled in if anything is suspected.
    SuspectDecision admit(CallId call, CallMessage &message, const Announcement &server);
    /// The call is about to be sent to the server; it may have become a suspect since it arrived.
    /// Never to wait.
    SuspectDecision start(CallId call, CallMessage &message, const Announcement &server);
    /// It waits here for its turn.
    bool isWaiting(CallId call) const;
    /// How it runs here.
    SuspectRun runOf(CallId call) const;
    /// The call has ended. True if it was a suspect: another one may have its turn.
    bool onCallEnd(CallId call);
    /// The call that is to be admitted next; nothing if none waits, or a suspect runs.
    std::optional<CallId> takeNext(const ServiceName &service);
    /// All that wait with this fingerprint; they are to be admitted anew.
    std::vector<CallId> takeWaiting(const Fingerprint &fingerprint);

private:
    struct Suspect
    {
        ServiceName service;
        bool isWaiting = false;
        bool isTrial = false;
    };

    Standing standingOf(CallMessage &message, const Announcement &server) const;
    SuspectDecision begin(CallId call, const CallMessage &message, const Standing &standing);

    IQuarantine &m_quarantine;
    std::unordered_map<ServiceName, Isolation> m_isolations;
    std::unordered_map<CallId, Suspect> m_suspects;
};

} // namespace ivyspar
