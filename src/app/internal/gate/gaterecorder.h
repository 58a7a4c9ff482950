#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "app/internal/gate/announcement.h"
#include "app/internal/logs/observers.h"
#include "coordination/admission/igate.h"
#include "protocol/messages.h"
#include "state/ids.h"
#include "state/load.h"
#include "state/outcome.h"
#include "state/serverload.h"
#include "state/time.h"
#include "state/upstreamnotice.h"
#include "transport/ihttpclient.h"

namespace ivyspar {

/// State of a call at its gate, as it is written to the decision log.
struct GatedCall
{
    const CallMessage &message;
    Duration waited{ 0 };
    Duration left{ 0 };
    LoadReport load;
    /// The rate limit that the server states, if any.
    std::optional<RequestRate> rateLimit;
    /// What the gate goes by of the server's load statements.
    ServerLoad serverLoad = {};
    TimePoint now = {};
};

/// Why a call was started or refused when it was, as it is written to the decision log.
struct GatedOrder
{
    GateOrderBasis basis;
    /// The call that is kept instead of a refused one; 0 if there is none.
    RootId rival;
    RuleName rivalRule;
    Priority rivalPriority;
};

/// One send of a call to a server and what was concluded from it.
struct EndedSend
{
    RootId root;
    RuleName rule;
    Rank rank;
    const Announcement &server;
    /// Counted from 1 for the call at this gate.
    std::uint32_t number = 1;
    HttpSendReport report = {};
    Duration took{ 0 };
    Verdict verdict = {};
    /// HTTP status of the server's response; 0 if there is none.
    std::uint16_t status = 0;
    /// Why there is no response; empty if there is one.
    std::string failure = {};
};

/// Writes the decisions of a gate to the decision log. Traffic thread only.
class GateRecorder
{
public:
    explicit GateRecorder(Observers observers)
        : m_observers(observers)
    {
    }

    /// Returns whether the log would drop such a line, so that its values need not be computed.
    bool wouldDrop(DecisionKind kind, Importance importance, RootId root)
    {
        return m_observers.decisions.wouldDrop(kind, importance, root);
    }
    void recordAdmitted(const GatedCall &call, const GatedOrder &order);
    void recordRefused(const GatedCall &call, Reason reason, const GatedOrder &order);
    void countStart(const GateOrderBasis &basis);
    void countRefusal(const GateOrderBasis &basis);
    /// Counts the answer of a call that has a latency objective.
    void countAnswer(bool isObjectiveMet);
    /// Counts the send. Logs it as essential if it did not simply run.
    void recordSend(const EndedSend &send);
    /// Records the end of a run at that server; `status` is the HTTP status, used only if the
    /// server answered.
    void recordRun(const CallMessage &message, const UpstreamId &instance, const Verdict &verdict,
                   std::uint16_t status, Duration served);
    /// Counts and logs that the server's notice changed with that request. `source` is a string
    /// literal: `response`, or `forwarded` by the entry daemon.
    void recordNotice(const Announcement &server, RootId root, const UpstreamNotice &before,
                      const UpstreamNotice &notice, const char *source);
    /// Logs that a part of what the response to that request stated is not heeded. `outcome` is a
    /// string literal.
    void recordBadStatement(const Announcement &server, RootId root, const char *outcome);
    /// Counts and logs a server that ended without announcing its shutdown.
    void recordCrash(const Announcement &server, const UpstreamRunName &run);

private:
    void recordState(Decision decision, const GatedCall &call, const GatedOrder &order);

    Observers m_observers;
};

} // namespace ivyspar
