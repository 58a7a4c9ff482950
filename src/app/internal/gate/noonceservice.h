#pragma once

#include "app/internal/gate/ionceservice.h"

namespace ivyspar {

/// Used by daemons whose callers send neither idempotency keys nor tickets.
class NoOnceService : public IOnceService
{
public:
    void setListener(IOnceListener *listener) override { m_listener = listener; }
    /// Refuses the call: without a log the key cannot be claimed.
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
    void setMembers(const std::vector<Member> & /*members*/) override { }

private:
    IOnceListener *m_listener = nullptr;
};

} // namespace ivyspar
