#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/internal/balance/icalldemand.h"
#include "app/internal/gate/gatestatus.h"
#include "app/internal/logs/observers.h"
#include "coordination/balance/idomainbalance.h"
#include "coordination/routing/irouter.h"
#include "state/irandom.h"
#include "state/member.h"
#include "transport/ieventloop.h"

namespace ivyspar {

struct BalanceServiceOptions
{
    /// If false, nothing is measured or exchanged, and calls are not divided.
    bool isEnabled = true;
    DomainBalanceOptions balance;
};

/// State of the balance between failure domains, for operators.
struct BalanceOverview
{
    std::vector<BalanceStatus> services;
    /// Age of the oldest sums in use; nothing if none are.
    std::optional<Duration> newsAge;
};

/// Exchanges demand and capacity of failure domains with the other daemons, and sets the router's
/// shares. Traffic thread only.
class BalanceService : public ICallDemand
{
public:
    /// Sends a control payload to another daemon. Delivery is not guaranteed.
    using Send = std::function<void(DaemonId, std::string)>;
    /// Returns the gates of this host.
    using Gates = std::function<std::vector<GateStatus>()>;

    /// All references outlive the service.
    BalanceService(IEventLoop &loop, IRandom &random, IRouter &router, Observers observers,
                   Send send, Gates gates, const BalanceServiceOptions &options);
    ~BalanceService() override;

    /// The first call starts the exchange.
    void setMembers(const DaemonId &self, const std::vector<Member> &members);
    /// Handles a payload of the balance exchange; ignores payloads that cannot be decoded.
    void receive(const DaemonId &from, const std::string &payload);
    BalanceOverview overview() const;

    void onCall(const ServiceName &service, DemandShare admittedShare) override;
    void onAnswer(const ServiceName &service, Duration slotTime, SpeedShare speed) override;

private:
    void start();
    void armTick(Duration delay);
    void tick();
    void measureCapacities();
    void sendAll();

    IEventLoop &m_loop;
    IRandom &m_random;
    IRouter &m_router;
    Observers m_observers;
    Send m_send;
    Gates m_gates;
    BalanceServiceOptions m_options;
    std::unique_ptr<IDomainBalance> m_balance;
    TimerId m_timer;
    bool m_isStarted = false;
};

} // namespace ivyspar
