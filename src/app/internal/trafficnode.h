#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "app/internal/accounts/accountservice.h"
#include "app/internal/entry/entryservice.h"
#include "app/internal/entry/peercalls.h"
#include "app/internal/gate/gateservice.h"
#include "app/internal/gate/onceservice.h"
#include "app/internal/gate/upstreamwatch.h"
#include "app/internal/quarantine/quarantineservice.h"
#include "app/iplatform.h"
#include "app/readyfile.h"
#include "app/settings.h"
#include "state/configuration.h"
#include "state/member.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/ipeernetwork.h"

namespace ivyspar {

/// What the traffic thread tells the rest of the daemon. Called on the traffic thread.
struct TrafficEvents
{
    std::function<void(std::vector<UpstreamInfo>)> onUpstreams;
    std::function<void(ControlMessage)> onControl;
    std::function<void(DaemonId)> onUnreachable;
    /// A control payload for another daemon.
    std::function<void(DaemonId, std::string)> onPayload;
};

/// Figures of the traffic thread for `/status`.
struct TrafficStatus
{
    std::vector<std::pair<ServiceName, LoadReport>> gates;
    std::size_t requests = 0;
    std::size_t calls = 0;
    std::size_t links = 0;
    std::size_t callerConnections = 0;
    std::vector<SuspectStatus> suspects;
    std::vector<AccountStatus> accounts;
};

/// All that the traffic thread owns: listeners for callers, upstreams and peers, and the services
/// behind them. Made, used and destroyed on the traffic thread.
class TrafficNode
{
public:
    TrafficNode(IEventLoop &loop, const DaemonSettings &settings, const IPlatform &platform,
                const DaemonIdentity &self, TrafficEvents events,
                const ConfirmationTime &confirmation, Observers observers);
    ~TrafficNode();

    /// Opens the listeners.
    RetVal<ListeningEndpoints> listen();
    void setMembers(const std::vector<Member> &members);
    void setConfiguration(const ConfigurationPtr &configuration);
    void setHostService(const ServiceName &service) { m_entry->setHostService(service); }
    void sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload);
    /// A control payload of another daemon about suspects.
    void receiveSuspects(const DaemonId &from, const std::string &payload);
    void setDirectorySize(std::size_t daemons) { m_accounts->setDirectorySize(daemons); }
    /// A control payload of another daemon about limits of client accounts.
    void receiveAccounts(const DaemonId &from, const std::string &payload);
    /// False if nothing is known of it.
    bool liftQuarantine(const Fingerprint &fingerprint);
    TrafficStatus status() const;
    /// The daemon ends at `end`. Callers are sent elsewhere with their next request, and calls of
    /// other daemons that may last longer are refused; others are still taken, as the server beside
    /// works on.
    void startLeaving(TimePoint end);
    /// New requests of callers are refused from now on; those in flight go on.
    void refuseCallers();
    /// Suspends until the requests of callers are answered, until `end` at most.
    void waitForCallers(TimePoint end);
    /// Refuses all new calls, waits for the end of what is in flight and closes the listeners of
    /// callers and upstreams; suspends until `end` at most. False when something was still in
    /// flight then.
    bool drainCalls(TimePoint end);
    void closeLinks(Duration timeout);

private:
    Duration timeUntil(TimePoint end) const;
    void makePeers(const DaemonIdentity &self, Observers observers);
    HttpLimits makeLimits() const;
    HttpLimits makeCallerLimits(const CallerLimits &limits) const;
    HttpResponse handleCaller(IHttpExchange &exchange);
    HttpResponse handleUpstream(IHttpExchange &exchange);
    HttpResponse issueTicket(const HttpRequest &request);
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
    std::unique_ptr<IHttpClient> m_client;
    std::unique_ptr<IPeerNetwork> m_network;
    std::unique_ptr<IRouter> m_router;
    std::unique_ptr<IRetryPolicy> m_retries;
    std::unique_ptr<IHttpClient> m_logClient;
    std::unique_ptr<ILogService> m_log;
    std::unique_ptr<IOnceService> m_once;
    std::unique_ptr<QuarantineService> m_quarantine;
    std::unique_ptr<AccountService> m_accounts;
    std::unique_ptr<GateService> m_gates;
    std::unique_ptr<UpstreamWatch> m_watch;
    std::unique_ptr<PeerCalls> m_peerCalls;
    std::unique_ptr<EntryService> m_entry;
    std::unique_ptr<IHttpServer> m_callerServer;
    std::unique_ptr<IHttpServer> m_upstreamServer;
};

} // namespace ivyspar
