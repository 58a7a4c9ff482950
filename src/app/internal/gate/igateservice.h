#pragma once

#include <functional>
#include <optional>
#include <string>

#include "app/internal/gate/callbudget.h"
#include "coordination/calls/iparentfinder.h"
#include "protocol/messages.h"
#include "state/connectiontally.h"
#include "state/time.h"

namespace ivyspar {

/// What a call that runs on this host passes on to its inner calls.
struct CallContext
{
    RootId root;
    Priority priority;
    Depth depth;
    TimePoint deadline;
    CallBudgetPtr budget;
    CallTreePtr tree;
    DemandShare admittedShare;
    bool isRepeat = false;
    /// The account whose request the call serves; empty if there is none or it is not known.
    AccountName account;
    /// Time by which the call's answer is needed for the root request to meet its latency
    /// objective; nothing if it has none.
    std::optional<TimePoint> objective = {};
    /// Time at which the call is expected to end.
    TimePoint expectedEnd = {};
};

/// What was inferred about a request that carries no context token.
struct InferredContext
{
    /// It was sent by an upstream of this host.
    bool isInner = false;
    /// The call during which it was made, if that could be inferred. The receiver must not use its
    /// attempt budget: a wrong guess would spend the budget of another request.
    std::optional<CallContext> parent;
};

/// Where a call came from. A call from a link may have waited in the socket before it was read.
enum class CallSource { ThisDaemon, Link };

/// Runs calls on the upstreams of this host, through their gates.
class IGateService
{
public:
    using Reply = std::function<void(ResponseMessage)>;

    virtual ~IGateService() = default;

    /// `reply` runs exactly once, possibly before this function returns.
    virtual CallId handle(CallMessage call, CallSource source, Reply reply) = 0;
    /// Cancels the call if it is known here; its `reply` still runs.
    virtual void cancel(CallId call) = 0;
    /// Returns the context of the running call that the token, which an upstream sent, identifies;
    /// nothing if no such call is running.
    virtual std::optional<CallContext> findContext(const std::string &token) const = 0;
    /// Infers the context of a request of that rule that arrived now, without a token, over the
    /// connection of the tally.
    virtual InferredContext inferContext(ConnectionTally &tally, const RuleName &rule,
                                         TimePoint deadline, RequestSender sender) = 0;
    /// Called when a request that `inferContext` found to be an inner call was answered.
    virtual void onInnerAnswer(const RuleName &rule) = 0;
    /// Adds the usage of an inner call to its parent's tree, or to that of another running call of
    /// the parent's rule if the parent has ended.
    virtual void recordUsage(CallTree &tree, const TreeUsage &usage) = 0;
    /// Returns the load of the service's gate on this host. A service without a gate here is
    /// reported as draining.
    virtual LoadReport load(const ServiceName &service) const = 0;
};

} // namespace ivyspar
