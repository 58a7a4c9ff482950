#pragma once

#include "app/internal/gate/ionceservice.h"

namespace ivyspar {

/// For daemons whose callers give neither keys nor tickets.
class NoOnceService : public IOnceService
{
public:
    void setListener(IOnceListener *listener) override { m_listener = listener; }
    /// Without a place to claim a key, a call that needs one is not run.
    void request(CallId call, const CallMessage & /*message*/, TimePoint /*deadline*/) override
    {
        OnceReply reply;
        reply.call = call;
        reply.verdict = Verdict{ Outcome::NotRun, Reason::LogUnavailable, Duration::zero() };
        m_listener->onOnceReply(reply);
    }
    bool start(CallId /*call*/) override { return false; }
    void finished(CallId /*call*/, const Verdict & /*verdict*/,
                  const HttpResponse & /*response*/) override
    {
    }
    void notRun(CallId /*call*/) override { }
    void cancel(CallId /*call*/) override { }
    std::string issueTicket() override { return {}; }
    void setMembers(const std::vector<Member> & /*members*/) override { }

private:
    IOnceListener *m_listener = nullptr;
};

} // namespace ivyspar
