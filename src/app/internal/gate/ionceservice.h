#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/once/ioncecoordinator.h"
#include "protocol/messages.h"
#include "state/member.h"
#include "state/time.h"

namespace ivyspar {

/// Receives the decisions of the once service about calls that run at most once.
class IOnceListener
{
public:
    virtual ~IOnceListener() = default;

    /// The call has claimed its key or ticket and may enter the gate.
    virtual void onOnceProceed(CallId call) = 0;
    /// The call ends without a run here: with a stored answer, or with a verdict.
    virtual void onOnceReply(const OnceReply &reply) = 0;
};

/// Runs calls with an idempotency key or a ticket at most once. Traffic thread only.
class IOnceService
{
public:
    virtual ~IOnceService() = default;

    virtual void setListener(IOnceListener *listener) = 0;
    /// Claims the key or ticket of the call. Calls exactly one of the listener's functions for it,
    /// possibly before this function returns, unless the call is cancelled first. A claim that is
    /// not settled by `deadline` is refused.
    virtual void request(CallId call, const CallMessage &message, TimePoint deadline) = 0;
    /// To be called right before the call is sent to the upstream. If false, it must not be sent.
    virtual bool start(CallId call) = 0;
    /// The call that holds its claim was run, or may have been.
    virtual void finished(CallId call, const Verdict &verdict, const HttpResponse &response) = 0;
    /// The call that holds its claim was not run: the claim is released.
    virtual void notRun(CallId call) = 0;
    /// Cancels a call that still waits for its claim.
    virtual void cancel(CallId call) = 0;
    virtual void setMembers(const std::vector<Member> &members) = 0;
};

} // namespace ivyspar
