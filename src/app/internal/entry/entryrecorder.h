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

namespace ivyspar {

/// What the log says of a request in each line; refers to the request.
struct RequestFacts
{
    RootId root;
    /// As it came: for a call of an upstream another one than `root`.
    RootId ownId;
    const ServiceName &service;
    const RuleName &rule;
    Rank rank;
    Priority priority;
    Depth depth;
};

/// How a request that was routed ended.
struct RequestEnd
{
    Verdict verdict;
    /// HTTP status of an answer.
    std::uint16_t status = 0;
    std::uint32_t attempts = 0;
    Duration took{ 0 };
    /// Of that, the time that the upstream took.
    Duration served{ 0 };
};

/// A request that is refused before it is routed, and what that was based on.
struct Rejection
{
    EarlyRefusal refusal;
    ServiceName service;
    RuleName rule;
    std::vector<DecisionInput> inputs;
    /// The service that had no room.
    std::string choice;
    /// Of a request that may have crashed servers.
    Fingerprint fingerprint;
    /// Of a request that was refused for its account's sake; empty if it is not known.
    AccountName account;
};

/// Writes what an entry decides to the decision log and counts it. Traffic thread only.
class EntryRecorder
{
public:
    explicit EntryRecorder(Observers observers)
        : m_observers(observers)
    {
    }

    void recordAttempt(const RequestFacts &facts, const EntryAction &action, Duration left);
    void recordCancel(const RequestFacts &facts, const EntryAction &action);
    void recordEnd(const RequestFacts &facts, const RequestEnd &end);
    void recordRejection(const Rejection &rejection);

private:
    void writeEnd(const RequestFacts &facts, const RequestEnd &end);

    Observers m_observers;
};

} // namespace ivyspar
