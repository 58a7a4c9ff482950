#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/internal/control/controlchannel.h"
#include "app/internal/control/controlexchange.h"
#include "app/internal/control/controlrecorder.h"
#include "app/internal/control/iconfigurationdriver.h"
#include "app/internal/control/memberdirectory.h"
#include "app/internal/control/membershipdriver.h"
#include "app/internal/control/suspectstore.h"
#include "app/internal/logs/observers.h"
#include "app/internal/trafficnode.h"
#include "app/iplatform.h"
#include "app/settings.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ihttpclient.h"
#include "transport/ihttpserver.h"
#include "transport/ilogservice.h"

namespace ivyspar {

/// Calls from the control thread into the traffic thread. Called on the control thread.
struct TrafficPort
{
    std::function<void(std::vector<Member>)> setMembers;
    std::function<void(ConfigurationPtr)> setConfiguration;
    /// Sends a control payload over a link.
    std::function<void(DaemonId, Endpoint, std::string)> send;
    /// The callback runs on the traffic thread.
    std::function<void(std::function<void(TrafficStatus)>)> fetchStatus;
    std::function<void(DaemonId, std::string)> receiveSuspects;
    std::function<void(DaemonId, std::string)> receiveAccounts;
    std::function<void(DaemonId, std::string)> receiveBalance;
    /// Merges the records of suspects in the platform's store. The callback runs on the traffic
    /// thread, with what is to be written there.
    std::function<void(std::vector<SuspectRecord>, std::function<void(SuspectStoreChanges)>)>
        syncSuspects;
    /// Number of daemons that the platform's member directory lists.
    std::function<void(std::size_t)> setDirectorySize;
    /// The configuration in force was confirmed as the newest one as of that time.
    std::function<void(TimePoint)> confirm;
    /// The callback runs on the traffic thread, with false if the fingerprint is unknown.
    std::function<void(Fingerprint, std::function<void(bool)>)> liftQuarantine;
};

/// The components of the control thread: membership, configuration and the operators' listener.
/// Created, used and destroyed on the control thread.
class ControlNode
{
public:
    ControlNode(IEventLoop &loop, const DaemonSettings &settings, const IPlatform &platform,
                Member self, TrafficPort traffic, Observers observers);
    ~ControlNode();

    /// Opens the operators' listener and, if configured, the readiness listener; receives datagrams
    /// of other daemons at `peers`. Returns the endpoint of the operators' listener.
    RetVal<Endpoint> listen(const Endpoint &peers);
    void start();
    void setUpstreams(std::vector<UpstreamInfo> upstreams)
    {
        m_membership.setUpstreams(std::move(upstreams));
    }
    void receive(const ControlMessage &message);
    /// Sends a payload of the traffic thread to another daemon.
    void send(const DaemonId &to, std::string payload) { m_exchange.send(to, std::move(payload)); }
    /// There are records of suspects that the platform's store lacks.
    void onUnsavedSuspects();
    void onUnreachable(const DaemonId &daemon) { m_membership.onUnreachable(daemon); }
    /// From now on health checks are answered with 503.
    void setUnready() { m_isUnready = true; }
    /// Announces to the other daemons that this one accepts no more calls.
    void startLeaving() { m_membership.startLeaving(); }
    /// Announces to the other daemons that this one ends.
    void leave() { m_membership.leave(); }
    /// Suspends until the fibers have ended and each listener has drained, or `timeout` has
    /// passed for it.
    void stop(Duration timeout);

private:
    void makeConfigurationDriver(const IPlatform &platform);
    void makeDirectory(const IPlatform &platform);
    void makeSuspectStore(const IPlatform &platform);
    void onSuspectsRead();
    ControlSend makeSend();
    std::unique_ptr<IKeyedLog> makeKeyedLog(const IPlatform &platform);
    RetVal<Endpoint> listenAt(IHttpServer &server, const Endpoint &endpoint);
    ControlEvents makeControlEvents();
    ConfigurationEvents makeConfigurationEvents();
    void useConfiguration(const ConfigurationPtr &configuration, const ConfigurationOrigin &origin);
    void useBootstrap();
    HttpResponse handleOperator(IHttpExchange &exchange);
    HttpResponse answerHealth() const;
    HttpResponse answerStatus();
    HttpResponse answerMetrics();
    HttpResponse answerLift(const HttpRequest &request);
    TrafficStatus fetchTraffic();
    void countPipelines(const PipelineStats &stats);
    void countDropped(const TrafficStatus &traffic);
    /// Adds to the counter what it lacks.
    void countUpTo(Counter counter, std::uint64_t &counted, std::uint64_t value);
    void onMembers(std::vector<Member> members);

    IEventLoop &m_loop;
    DaemonSettings m_settings;
    TrafficPort m_traffic;
    Observers m_observers;
    ControlRecorder m_recorder;
    std::unique_ptr<IRandom> m_random;
    std::unique_ptr<IPeerCodec> m_codec;
    std::unique_ptr<IDatagramSocket> m_datagrams;
    ControlChannel m_channel;
    MembershipDriver m_membership;
    std::unique_ptr<IHttpClient> m_logClient;
    std::unique_ptr<ILogService> m_log;
    ControlExchange m_exchange;
    std::unique_ptr<IConfigurationReader> m_configurationReader;
    std::unique_ptr<IDocumentReader> m_documentReader;
    std::unique_ptr<IKeyedLog> m_configurationLog;
    std::unique_ptr<IKeyedLog> m_configurationWatchLog;
    std::unique_ptr<IKeyedLog> m_directoryLog;
    std::unique_ptr<IKeyedLog> m_suspectLog;
    std::unique_ptr<IConfigurationDriver> m_configurationDriver;
    std::unique_ptr<MemberDirectory> m_directory;
    /// Null where the platform has no stream for it.
    std::unique_ptr<SuspectStore> m_suspects;
    /// A configuration that is not used before the records of suspects were read.
    std::function<void()> m_useHeldConfiguration;
    std::unique_ptr<IHttpServer> m_operatorServer;
    std::unique_ptr<IHttpServer> m_readinessServer;
    ConfigurationPtr m_configuration;
    TimePoint m_configuredAt;
    /// The figures that the metrics already contain.
    PipelineStats m_countedPipelines;
    std::uint64_t m_countedRequestDrops = 0;
    std::uint64_t m_countedResponseDrops = 0;
    bool m_isUnready = false;
};

} // namespace ivyspar
