#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/once/ioncecoordinator.h"
#include "protocol/messages.h"
#include "state/member.h"
#include "state/time.h"

namespace ivyspar {

/// What the gate hears of its calls that run at most once.
class IOnceListener
{
public:
    virtual ~IOnceListener() = default;

    /// The call holds its key or ticket and may go through the gate.
    virtual void onOnceProceed(CallId call) = 0;
    /// The call ends here: with a stored answer, or with a verdict.
    virtual void onOnceReply(const OnceReply &reply) = 0;
};

/// Runs calls with an idempotency key or a ticket at most once. Traffic thread only.
class IOnceService
{
public:
    virtual ~IOnceService() = default;

    virtual void setListener(IOnceListener *listener) = 0;
    /// Exactly one of the listener's functions follows for the call, unless it is cancelled first;
    /// possibly before this function returns.
    virtual void request(CallId call, const CallMessage &message, TimePoint deadline) = 0;
    /// In the step in which the call is sent to the upstream. False: it must not be sent.
    virtual bool start(CallId call) = 0;
    virtual void finished(CallId call, const Verdict &verdict, const HttpResponse &response) = 0;
    virtual void notRun(CallId call) = 0;
    virtual void cancel(CallId call) = 0;
    virtual std::string issueTicket() = 0;
    virtual void setMembers(const std::vector<Member> &members) = 0;
};

} // namespace ivyspar
