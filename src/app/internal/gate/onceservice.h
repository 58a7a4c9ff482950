#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "app/internal/gate/ionceservice.h"
#include "app/internal/gate/iticketissuer.h"
#include "app/internal/logs/observers.h"
#include "app/internal/waketimer.h"
#include "coordination/once/ioncecoordinator.h"
#include "coordination/once/iticketregistry.h"
#include "transport/ieventloop.h"
#include "transport/ilogservice.h"

namespace ivyspar {

/// Name of the log stream that holds the claims of idempotency keys.
constexpr char CLAIM_STREAM[] = "claims";

/// Appends claims to the platform's log, reads them back, and runs the timers of the coordinator
/// and the ticket registry.
class OnceService : public IOnceService, public ITicketIssuer
{
public:
    OnceService(IEventLoop &loop, ILogService &log, Observers observers,
                std::unique_ptr<IOnceCoordinator> coordinator,
                std::unique_ptr<ITicketRegistry> tickets);

    void setListener(IOnceListener *listener) override { m_listener = listener; }
    void request(CallId call, const CallMessage &message, TimePoint deadline) override;
    bool start(CallId call) override;
    void finished(CallId call, const Verdict &verdict, const HttpResponse &response) override;
    void notRun(CallId call) override;
    void cancel(CallId call) override;
    std::string issueTicket() override;
    void setMembers(const std::vector<Member> &members) override;

private:
    bool isTicketed(CallId call) const { return m_ticketed.count(call) > 0; }
    /// Executes the actions that the coordinator or the ticket registry returned, and sets `timer`
    /// to its next tick.
    void perform(OnceActions actions, WakeTimer &timer);
    void performKeys(OnceActions actions) { perform(std::move(actions), m_keyTimer); }
    void performTickets(OnceActions actions) { perform(std::move(actions), m_ticketTimer); }
    void appendClaims(const ClaimAppend &append);
    void readClaims(ClaimRead read);

    IEventLoop &m_loop;
    ILogService &m_log;
    Observers m_observers;
    std::unique_ptr<IOnceCoordinator> m_coordinator;
    std::unique_ptr<ITicketRegistry> m_tickets;
    IOnceListener *m_listener = nullptr;
    /// Calls that came with a ticket instead of a key.
    std::unordered_set<CallId> m_ticketed;
    std::unordered_map<DaemonId, Incarnation> m_members;
    WakeTimer m_keyTimer;
    WakeTimer m_ticketTimer;
};

} // namespace ivyspar
