#pragma once

#include <memory>
#include <optional>

#include "state/connectiontally.h"
#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// What is believed of a request that reached this host without a context.
struct Parentage
{
    /// A server of this host made it while it ran a call.
    bool isInner = false;
    /// That call, if it is known.
    std::optional<CallId> parent;
};

struct ParentFinderOptions
{
    /// An inner call ends with its parent. Its deadline, as it arrives here, may be this much
    /// before or after the one that the parent was given: both are cut to whole milliseconds, and
    /// reading takes time.
    Duration before = std::chrono::microseconds(1500);
    Duration after = std::chrono::milliseconds(5);
    /// Requests of a connection that are needed to tell whose it is.
    std::uint32_t leastRequests = 4;
    /// A connection with a larger share of requests that end with a running call is the server's:
    /// a caller's request ends with one now and then by chance.
    double fittingShare = 0.2;
    /// Weight of one request in a rule's share of inner calls.
    double weight = 0.05;
    /// On a connection of which little is known, requests of rules with a larger share are taken
    /// for inner calls.
    double innerShare = 0.5;
};

/// Finds out which running call of this host's server made a call, where servers do not say.
///
/// A server gives its calls the deadline that it was given itself, or an earlier one of their own,
/// and sends them over connections of its own. So a connection is the server's if each of its
/// requests could have been made by a running call, and enough of them end with one.
/// A call whose deadline fits no running call is given to one of a rule that was seen to make such
/// calls. A wrong parent costs little: the
/// call is admitted by the rank of another admitted request, and its cost is booked there; over
/// many calls the bookings of two rules mix only as far as their deadlines coincide.
class IParentFinder
{
public:
    virtual ~IParentFinder() = default;

    /// The call, of that rule, was sent to the server, with this deadline.
    virtual void onStart(CallId call, const RuleName &rule, TimePoint deadline) = 0;
    virtual void onEnd(CallId call) = 0;
    /// A request of that rule arrived with this deadline, over the connection of that tally.
    virtual Parentage find(ConnectionTally &tally, const RuleName &rule, TimePoint deadline) = 0;
};

std::unique_ptr<IParentFinder> makeParentFinder(const ParentFinderOptions &options = {});

} // namespace ivyspar
