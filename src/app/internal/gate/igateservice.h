#pragma once

#include <functional>
#include <optional>
#include <string>

#include "app/internal/gate/callledger.h"
#include "coordination/calls/iparentfinder.h"
#include "protocol/messages.h"
#include "state/connectiontally.h"
#include "state/time.h"

namespace ivyspar {

/// What a call that runs on this host hands to the calls that its upstream makes.
struct CallContext
{
    RootId root;
    Priority priority;
    Depth depth;
    TimePoint deadline;
    CallLedgerPtr ledger;
    CallTreePtr tree;
    DemandShare letIn;
    bool isRepeat = false;
    /// Whose request the call works for; empty if it has no account or it is not known.
    AccountName account;
};

/// What a request that names no context was found to be.
struct InferredContext
{
    /// An upstream of this host made it.
    bool isInner = false;
    /// The call during which it was made, if that is known. Its ledger is not shared: a wrong guess
    /// would spend the budget of another request.
    std::optional<CallContext> parent;
};

/// Where a call came from. One from a link may have lain unread.
enum class CallSource { ThisDaemon, Link };

/// Runs calls on the upstreams of this host, through their gates.
class IGateService
{
public:
    using Reply = std::function<void(ResponseMessage)>;

    virtual ~IGateService() = default;

    /// `reply` runs exactly once, possibly before this function returns.
    virtual CallId handle(CallMessage call, CallSource source, Reply reply) = 0;
    virtual void cancel(CallId call) = 0;
    /// The running call to which an upstream's context token belongs.
    virtual std::optional<CallContext> findContext(const std::string &token) const = 0;
    /// For a request of that rule that arrived now, without a token, over the tally's connection.
    virtual InferredContext inferContext(ConnectionTally &tally, const RuleName &rule,
                                         TimePoint deadline, RequestSender maker) = 0;
    /// A request that `inferContext` found to be inner was answered.
    virtual void noteInnerAnswer(const RuleName &rule) = 0;
    /// Books the cost of an inner call to its parent's tree, or to that of another call of the
    /// parent's rule when the parent has ended.
    virtual void book(CallTree &tree, const TreeUsage &usage) = 0;
    virtual LoadReport load(const ServiceName &service) const = 0;
};

} // namespace ivyspar
