#pragma once

#include <memory>
#include <optional>

#include "state/connectiontally.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// What was inferred about a request that reached this host without a context.
struct ParentMatch
{
    /// A server of this host sent it while running a call.
    bool isInner = false;
    /// The call that it ran, if known.
    std::optional<CallId> parent;
};

/// What is known about the sender of a request, independently of its connection.
enum class RequestSender { Unknown, Server };

struct ParentFinderOptions
{
    /// An inner call may inherit the deadline of its parent. Its deadline, as it arrives here, may
    /// be this much earlier or later than the parent's: both are truncated to whole milliseconds,
    /// and reading takes time.
    Duration deadlineEarly = std::chrono::milliseconds(1);
    Duration deadlineLate = std::chrono::milliseconds(3);

    /// Requests after which a connection counts as evidence for the rules of its requests …
    std::uint32_t minRequestsToLearn = 6;
    /// … and after which it is classified on its own, whatever is known of these rules.
    std::uint32_t minRequestsToDecide = 16;
    /// Servers are taken to propagate deadlines if a larger share of a connection's requests
    /// matches the deadline of a running call. A caller's request occasionally matches one by
    /// chance.
    double minMatchShare = 0.4;
    /// A connection with a larger share of requests that no running call can have made belongs to a
    /// caller. A server's call is such a request if its parent was just given up.
    double maxUnattributedShare = 0.05;
    /// Weight of one request in a rule's share of inner calls.
    double learnWeight = 0.05;
    /// On a connection that is not classified yet, requests of rules with a larger share are taken
    /// for inner calls.
    double minInnerShare = 0.5;

    /// Within this time after one of its calls was answered, a server makes the next one or answers
    /// its own call.
    Duration continuationTime = std::chrono::microseconds(600);
    /// A rule is taken for a parent of another if the share of its calls that end right after an
    /// answer of the other is at least this part of the largest such share …
    double minRelativeShare = 0.5;
    /// … and at least this many of its calls ended so.
    double minEvidence = 3;
    /// Weight of one ended call in a rule's share.
    double evidenceWeight = 0.02;
    /// A server may continue for this time with a call that was given up.
    Duration abandonedCallTime = std::chrono::seconds(1);
};

/// Infers which running call of this host's server made a call, for servers that do not pass on
/// the context.
///
/// Servers send their calls over connections of their own, and the deadline of each of these calls
/// is no later than that of its parent. So a connection belongs to the server if every request on
/// it could have been made by a running call.
///
/// If servers propagate deadlines, the parent is the running call with the same deadline. Otherwise
/// it is a call of a rule whose calls usually end right after such calls were answered. A wrong
/// guess costs little: the call is admitted with the rank of another admitted request, and its cost
/// is booked to that request.
class IParentFinder
{
public:
    virtual ~IParentFinder() = default;

    /// A call of the rule was sent to the server with this deadline.
    virtual void onStart(CallId call, const RuleName &rule, TimePoint deadline) = 0;
    /// The call ended; unknown calls are ignored.
    virtual void onEnd(TimePoint now, CallId call) = 0;
    /// Classifies a request of the rule that arrived with this deadline, counts it in the tally of
    /// its connection, and finds its parent.
    virtual ParentMatch find(TimePoint now, ConnectionTally &tally, const RuleName &rule,
                             TimePoint deadline, RequestSender sender) = 0;
    /// Whether a server of this host is running a call, or recently was.
    virtual bool isServerBusy(TimePoint now) const = 0;
    /// The running call of the rule with the latest deadline.
    virtual std::optional<CallId> findRunning(const RuleName &rule) const = 0;
    /// An inner call of the rule was answered.
    virtual void onInnerAnswer(TimePoint now, const RuleName &rule) = 0;
};

std::unique_ptr<IParentFinder> makeParentFinder(const ParentFinderOptions &options = {});

} // namespace ivyspar
