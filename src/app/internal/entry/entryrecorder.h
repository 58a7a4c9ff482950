#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "app/internal/logs/observers.h"
#include "coordination/calls/ientrycall.h"
#include "protocol/irequestdialect.h"
#include "state/ids.h"
#include "state/outcome.h"
#include "state/time.h"
#include "transport/ihttpserver.h"

namespace ivyspar {

/// The facts about a request that each of its log lines contains; holds references into the
/// request.
struct RequestFacts
{
    RootId root;
    /// Id of this request; differs from `root` for a call that an upstream makes.
    RootId ownId;
    const ServiceName &service;
    const RuleName &rule;
    Rank rank;
    Priority priority;
    Depth depth;
};

/// Result of a request that was routed.
struct RequestResult
{
    Verdict verdict;
    /// HTTP status of the answer; not used if there is none.
    std::uint16_t status = 0;
    std::uint32_t attempts = 0;
    Duration took{ 0 };
    /// Part of `took` that was spent at the upstream.
    Duration served{ 0 };
};

/// The refusal of a request before it is routed, and the inputs of that decision.
struct Rejection
{
    EarlyRefusal refusal;
    ServiceName service;
    RuleName rule;
    std::vector<DecisionInput> inputs;
    /// The service that lacked capacity.
    std::string choice;
    /// Set for a request that may have crashed servers.
    Fingerprint fingerprint;
    /// Set if the request was refused because of its account; empty if that is not known.
    AccountName account;
};

/// An attempt that ended without an answer of the daemon that it was sent to.
struct LostAttempt
{
    AttemptIndex attempt;
    DaemonId target;
    Verdict verdict;
};

/// Writes the decisions of an entry to the decision log and counts them. Traffic thread only.
class EntryRecorder
{
public:
    explicit EntryRecorder(Observers observers)
        : m_observers(observers)
    {
    }

    void recordAttempt(const RequestFacts &facts, const EntryAction &action, Duration left);
    void recordCancel(const RequestFacts &facts, const EntryAction &action);
    void recordLost(const RequestFacts &facts, const LostAttempt &lost);
    void recordEnd(const RequestFacts &facts, const RequestResult &result);
    void recordRejection(const Rejection &rejection);
    void recordUndelivered(RootId root, DeliveryFailure failure);

private:
    /// Counts an attempt that goes to another failure domain.
    void countCrossing(const EntryAction &action);
    void writeEnd(const RequestFacts &facts, const RequestResult &result);

    Observers m_observers;
};

} // namespace ivyspar
