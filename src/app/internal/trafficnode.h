#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "app/internal/accounts/accountservice.h"
#include "app/internal/balance/balanceservice.h"
#include "app/internal/entry/entryservice.h"
#include "app/internal/entry/peercalls.h"
#include "app/internal/entry/ticketendpoint.h"
#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/onceservice.h"
#include "app/internal/gate/upstreammonitor.h"
#include "app/internal/quarantine/quarantineservice.h"
#include "app/iplatform.h"
#include "app/readyfile.h"
#include "app/settings.h"
#include "coordination/memory/ibodybudget.h"
#include "state/configuration.h"
#include "state/member.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/ipeernetwork.h"

namespace ivyspar {

/// Callbacks from the traffic thread to the rest of the daemon. Called on the traffic thread.
struct TrafficEvents
{
    std::function<void(std::vector<UpstreamInfo>)> onUpstreams;
    std::function<void(ControlMessage)> onControlMessage;
    std::function<void(DaemonId)> onUnreachable;
    /// A control payload to send to another daemon.
    std::function<void(DaemonId, std::string)> onOutgoingPayload;
    /// There are records of suspects that the platform's store lacks.
    std::function<void()> onUnsavedSuspects;
};

/// Figures of the traffic thread for `/status`.
struct TrafficStatus
{
    std::vector<GateStatus> gates;
    std::size_t requests = 0;
    std::size_t calls = 0;
    std::size_t links = 0;
    std::size_t callerConnections = 0;
    PipelineStats pipelines;
    BodyUsage requestBodies;
    BodyUsage responseBodies;
    std::vector<SuspectStatus> suspects;
    std::vector<AccountStatus> accounts;
    BalanceOverview balance;
    std::vector<AccountShareStatus> accountShares;
    std::size_t activeAccounts = 0;
};

/// Owns everything that runs on the traffic thread: listeners for callers, upstreams and peers, and
/// the services behind them. Created, used and destroyed on the traffic thread.
class TrafficNode
{
public:
    TrafficNode(IEventLoop &loop, const DaemonSettings &settings, const IPlatform &platform,
                const DaemonIdentity &self, TrafficEvents events,
                const ConfirmationTime &confirmation, Observers observers);
    ~TrafficNode();

    /// Opens the listeners. Returns their endpoints with the assigned ports, or the error of the
    /// first one that could not be opened.
    RetVal<ListeningEndpoints> listen();
    void setMembers(const std::vector<Member> &members);
    void setConfiguration(const ConfigurationPtr &configuration);
    void setHostService(const ServiceName &service) { m_entry->setHostService(service); }
    void sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload);
    /// Handles a control payload of another daemon about suspect requests.
    void receiveSuspects(const DaemonId &from, const std::string &payload);
    /// Merges the records of suspects in the platform's store. Returns what is to be written there.
    SuspectStoreChanges syncSuspects(const std::vector<SuspectRecord> &stored)
    {
        return m_quarantine->syncStore(stored);
    }
    void setDirectorySize(std::size_t daemons) { m_accounts->setDirectorySize(daemons); }
    /// Handles a control payload of another daemon about limits of client accounts.
    void receiveAccounts(const DaemonId &from, const std::string &payload);
    /// Handles a control payload of another daemon about the balance between failure domains.
    void receiveBalance(const DaemonId &from, const std::string &payload);
    /// Returns false if the fingerprint is unknown.
    bool liftQuarantine(const Fingerprint &fingerprint);
    TrafficStatus status() const;
    /// Prepares for a stop at `end`. Callers are asked to move to other daemons with their next
    /// request, and calls of other daemons that may last longer than `end` are refused. Other calls
    /// are still accepted, as the server on this host keeps working.
    void startLeaving(TimePoint end);
    /// Refuses new requests of callers, and calls of the local server that may last longer than
    /// `end`; those in flight continue.
    void refuseCallers(TimePoint end);
    /// Suspends until the requests of callers are answered, but no longer than until `end`.
    void waitForCallers(TimePoint end);
    /// Refuses all new calls, waits for requests and calls in flight, ends the requests that are
    /// still unanswered, and closes the listeners for callers and upstreams. Suspends no longer
    /// than until `end`; returns false if something was still in flight then.
    bool drainCalls(TimePoint end);
    void closeLinks(Duration timeout);

private:
    Duration timeUntil(TimePoint end) const;
    void makePeers(const DaemonIdentity &self, Observers observers);
    HttpLimits makeLimits() const;
    HttpLimits makeCallerLimits(const CallerLimits &limits) const;
    HttpResponse handleCaller(IHttpExchange &exchange);
    HttpResponse handleUpstream(IHttpExchange &exchange);
    /// A rule that covers the endpoint of the tickets has precedence over it.
    bool isTicketRequest(const HttpRequest &request) const;
    HttpResponse handleReport(const HttpRequest &request);

    IEventLoop &m_loop;
    DaemonSettings m_settings;
    DaemonId m_self;
    TrafficEvents m_events;
    std::unique_ptr<IRequestDialect> m_requestDialect;
    std::unique_ptr<IUpstreamDialect> m_upstreamDialect;
    std::unique_ptr<IReportDialect> m_reportDialect;
    std::unique_ptr<IRandom> m_random;
    std::unique_ptr<IPeerCodec> m_codec;
    BodyBudgetPtr m_bodies;
    std::unique_ptr<IHttpClient> m_client;
    std::unique_ptr<IPeerNetwork> m_network;
    std::unique_ptr<IRouter> m_router;
    std::unique_ptr<IRetryPolicy> m_retries;
    std::unique_ptr<IHttpClient> m_logClient;
    std::unique_ptr<ILogService> m_log;
    std::unique_ptr<IOnceService> m_once;
    /// Null where the platform has no tickets.
    std::unique_ptr<TicketEndpoint> m_tickets;
    std::unique_ptr<QuarantineService> m_quarantine;
    std::unique_ptr<AccountService> m_accounts;
    std::unique_ptr<GateService> m_gates;
    std::unique_ptr<UpstreamMonitor> m_upstreamMonitor;
    std::unique_ptr<BalanceService> m_balance;
    std::unique_ptr<PeerCalls> m_peerCalls;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<IHttpServer> m_callerServer;
    std::unique_ptr<IHttpServer> m_upstreamServer;
};

} // namespace ivyspar
