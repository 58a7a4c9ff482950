#pragma once

#include <functional>
#include <memory>
#include <string>

#include "app/icontrolexchange.h"
#include "app/internal/configurationfollower.h"
#include "app/internal/membershipdriver.h"
#include "app/internal/observers.h"
#include "app/internal/trafficnode.h"
#include "app/settings.h"
#include "state/configuration.h"
#include "transport/ieventloop.h"
#include "transport/ihttpserver.h"

namespace ivyspar {

/// How the control thread reaches the traffic thread. Called on the control thread.
struct TrafficPort
{
    std::function<void(std::vector<Member>)> setMembers;
    std::function<void(ConfigurationPtr)> setConfiguration;
    std::function<void(DaemonId, Endpoint, std::string)> send;
    /// The callback runs on the traffic thread.
    std::function<void(std::function<void(TrafficStatus)>)> fetchStatus;
    std::function<void()> stopForDuplicate;
};

/// All that the control thread owns: membership, configuration and the operators' listener. Made,
/// used and destroyed on the control thread.
class ControlNode : public IControlExchange
{
public:
    ControlNode(IEventLoop &loop, const DaemonSettings &settings, Member self, TrafficPort traffic,
                Observers observers);
    ~ControlNode() override;

    /// Opens the operators' listener.
    RetVal<Endpoint> listen();
    void start();
    void setUpstreams(std::vector<UpstreamInfo> upstreams)
    {
        m_membership.setUpstreams(std::move(upstreams));
    }
    void receive(const ControlMessage &message);
    void onUnreachable(const DaemonId &daemon) { m_membership.onUnreachable(daemon); }
    void startLeaving();
    void leave() { m_membership.leave(); }
    /// Suspends until the fibers of this node have ended.
    void stop(Duration timeout);

private:
    std::vector<ControlPeer> peers() const override;
    void send(const DaemonId &to, std::string payload) override;
    ControlEvents makeControlEvents();
    void useConfiguration(const ConfigurationPtr &configuration);
    void useBootstrap();
    ConfigurationFollowerSettings makeFollowerSettings() const;
    ConfigurationFollowerEvents makeFollowerEvents();
    void onMembers(std::vector<Member> members);
    HttpResponse answerMetrics();
    TrafficStatus fetchTraffic();
    HttpResponse handleOperator(IHttpExchange &exchange);
    HttpResponse answerHealth() const;
    HttpResponse answerStatus();

    IEventLoop &m_loop;
    DaemonSettings m_settings;
    TrafficPort m_traffic;
    Observers m_observers;
    std::unique_ptr<IRandom> m_random;
    MembershipDriver m_membership;
    std::unique_ptr<IHttpServer> m_operatorServer;
    std::unique_ptr<IHttpClient> m_logClient;
    std::unique_ptr<ILogService> m_log;
    std::unique_ptr<IConfigurationReader> m_reader;
    std::unique_ptr<ConfigurationFollower> m_follower;
    ConfigurationPtr m_configuration;
    bool m_isLeaving = false;
};

} // namespace ivyspar
