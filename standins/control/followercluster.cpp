#include "standins/control/followercluster.h"

#include <algorithm>
#include <utility>

#include "transport/logservicefactory.h"

namespace ivyspar::lab {

namespace {

class LocalExchange : public IControlExchange
{
public:
    LocalExchange(LocalControlNetwork &network, DaemonId self)
        : m_network(network)
        , m_self(std::move(self))
    {
    }

    std::vector<ControlPeer> peers() const override { return m_network.peersOf(m_self); }
    void send(const DaemonId &to, std::string payload) override
    {
        m_network.send(m_self, to, std::move(payload));
    }

private:
    LocalControlNetwork &m_network;
    DaemonId m_self;
};

} // namespace

FollowerCluster::FollowerCluster(IEventLoop &loop, const IConfigurationReader &reader,
                                 FollowerClusterSettings settings)
    : m_loop(loop)
    , m_reader(reader)
    , m_settings(std::move(settings))
    , m_core(m_settings.log)
    , m_server(loop, m_core)
    , m_network(loop, m_settings.networkDelay)
{
}

FollowerCluster::~FollowerCluster() = default;

FollowerHost &FollowerCluster::add(const std::string &id, const std::string &domain)
{
    m_hosts.push_back(std::make_unique<FollowerHost>());
    FollowerHost &host = *m_hosts.back();
    host.peer = { DaemonId(id), DomainName(domain) };
    host.log = makeLog(id, host.client);
    host.exchange = std::make_unique<LocalExchange>(m_network, host.peer.id);
    host.random = std::make_unique<SeededRandom>(m_settings.seed + ++m_started);
    ConfigurationFollowerSettings settings = m_settings.follower;
    settings.self = host.peer.id;
    settings.domain = host.peer.domain;
    ConfigurationEvents events;
    events.onConfiguration = [this, &host](const ConfigurationPtr &configuration,
                                           const ConfigurationOrigin & /*origin*/) {
        host.history.push_back(configuration->version);
        host.lastChange = m_loop.now();
    };
    host.follower = std::make_unique<ConfigurationFollower>(settings, m_loop, *host.log, m_reader,
                                                            *host.exchange, *host.random, events);
    m_network.join(host.peer, [&host](const DaemonId &from, const std::string &payload) {
        host.follower->receive(from, payload);
    });
    host.follower->start();
    return host;
}

void FollowerCluster::remove(const std::string &id)
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&id](const auto &host) {
        return host->peer.id.value() == id;
    });
    if (found == m_hosts.end()) {
        return;
    }
    m_network.leave((*found)->peer.id);
    (*found)->follower->stop();
    m_hosts.erase(found);
}

void FollowerCluster::stop()
{
    while (!m_hosts.empty()) {
        remove(std::string(m_hosts.back()->peer.id.value()));
    }
    while (m_server.activeCount() > 0 || m_network.inFlight() > 0) {
        m_loop.sleepFor(std::chrono::milliseconds(1));
    }
}

std::unique_ptr<ILogService> FollowerCluster::makeLog(const std::string &clientName,
                                                      std::unique_ptr<InProcessHttpClient> &client)
{
    client = std::make_unique<InProcessHttpClient>(
        m_loop, [this](IHttpExchange &exchange) { return m_server.handle(exchange); });
    LogServiceSettings settings;
    settings.endpoints = { { "127.0.0.1", 1 } };
    settings.clientName = clientName;
    settings.timeout = m_settings.logTimeout;
    return makeHttpLogService(settings, *client);
}

} // namespace ivyspar::lab
