#pragma once

#include <memory>
#include <optional>

#include "state/connectiontally.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// What is believed of a request that reached this host without a context.
struct ParentMatch
{
    /// A server of this host made it while it ran a call.
    bool isInner = false;
    /// That call, if it is known.
    std::optional<CallId> parent;
};

/// What is known of who made a request, whatever its connection tells.
enum class RequestSender { Unknown, Server };

struct ParentFinderOptions
{
    /// An inner call may end with its parent. Its deadline, as it arrives here, may be this much
    /// before or after the one that the parent was given: both are cut to whole milliseconds, and
    /// reading takes time.
    Duration deadlineEarly = std::chrono::milliseconds(1);
    Duration deadlineLate = std::chrono::milliseconds(3);

    /// Requests after which a connection tells something of the rules of its requests …
    std::uint32_t minRequestsToLearn = 6;
    /// … and after which it is known, whatever others tell of these rules.
    std::uint32_t minRequestsToDecide = 16;
    /// With a larger share of requests that end with a running call, servers hand their deadline
    /// down: a caller's request ends with one now and then by chance.
    double minMatchShare = 0.4;
    /// A connection with a larger share of requests that no running call can have made is a
    /// caller's. A server's call is one of them when its parent was just given up.
    double maxImpossibleShare = 0.05;
    /// Weight of one request in a rule's share of inner calls.
    double learnWeight = 0.05;
    /// On a connection of which little is known, requests of rules with a larger share are taken
    /// for inner calls.
    double minInnerShare = 0.5;

    /// A server goes on within this time after one of its calls was answered: it makes the next
    /// one, or answers its own call.
    Duration continuationTime = std::chrono::microseconds(600);
    /// A rule is taken for a parent of another if its calls end so, after an answer of the other,
    /// at least this often in a hundred of the share of the rule that does so most.
    double minRelativeShare = 0.5;
    double minEvidence = 3;
    /// Weight of one end in a rule's share.
    double evidenceWeight = 0.02;
    /// A server may go on for so long with a call that was given up.
    Duration abandonedCallTime = std::chrono::seconds(1);
};

/// Finds out which running call of this host's server made a call, where servers do not say.
///
/// Servers send their calls over connections of their own, and each of these calls ends no later
/// than its parent. So a connection is the server's if every request on it could have been made by
/// a running call.
///
/// The parent is the running call that ends at the same time, where servers hand their deadline
/// down. Otherwise it is one of a rule whose calls use to end right after such calls were answered.
/// A wrong guess costs little: the call is admitted by the rank of another admitted request, and
/// its cost is booked there.
class IParentFinder
{
public:
    virtual ~IParentFinder() = default;

    /// The call, of that rule, was sent to the server, with this deadline.
    virtual void onStart(CallId call, const RuleName &rule, TimePoint deadline) = 0;
    virtual void onEnd(TimePoint now, CallId call) = 0;
    /// A request of that rule arrived with this deadline, over the connection of that tally.
    virtual ParentMatch find(TimePoint now, ConnectionTally &tally, const RuleName &rule,
                             TimePoint deadline, RequestSender sender) = 0;
    /// Whether a server of this host runs a call, or did so a moment ago.
    virtual bool isServerBusy(TimePoint now) const = 0;
    /// The running call of that rule that has the longest to go.
    virtual std::optional<CallId> findRunning(const RuleName &rule) const = 0;
    /// An inner call of that rule was answered.
    virtual void onInnerAnswer(TimePoint now, const RuleName &rule) = 0;
};

std::unique_ptr<IParentFinder> makeParentFinder(const ParentFinderOptions &options = {});

} // namespace ivyspar
