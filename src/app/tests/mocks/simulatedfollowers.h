#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "app/internal/control/documentfollower.h"
#include "app/internal/control/memberdirectory.h"
#include "app/tests/mocks/numberreader.h"
#include "app/tests/mocks/silentobservers.h"
#include "app/tests/mocks/simulatedlog.h"
#include "state/internal/seededrandom.h"
#include "transport/tests/mocks/simulatedeventloop.h"

namespace ivyspar {

struct SimulatedDeployment
{
    std::size_t daemons = 13;
    std::size_t domains = 3;
    std::uint64_t seed = 1;
    std::uint32_t readersPerDomain = 2;
    /// Percentage of the messages between daemons that are lost.
    std::uint64_t lossPercent = 1;
};

/// The daemons of a deployment that follow one configuration, in one simulated loop. The network
/// between them loses messages and can be partitioned.
class SimulatedFollowers
{
public:
    explicit SimulatedFollowers(const SimulatedDeployment &deployment)
        : m_deployment(deployment)
        , m_random(deployment.seed)
    {
        for (std::size_t i = 0; i < deployment.daemons; ++i) {
            m_hosts.push_back(std::make_unique<Host>(*this, i));
        }
    }
    SimulatedFollowers(const SimulatedFollowers &) = delete;
    SimulatedFollowers &operator=(const SimulatedFollowers &) = delete;
    ~SimulatedFollowers()
    {
        m_loop.runToEnd(
            [this] {
                for (const auto &host : m_hosts) {
                    host->stop();
                }
            },
            std::chrono::minutes(1));
    }

    void start()
    {
        for (const auto &host : m_hosts) {
            host->directory->start();
            host->follower->start();
        }
    }

    void run(Duration duration) { m_loop.runFor(duration); }
    TimePoint now() const { return m_loop.now(); }
    IRandom &random() { return m_random; }
    std::size_t size() const { return m_hosts.size(); }

    void publish(std::uint64_t version)
    {
        m_stream.records.push_back({ KEY, std::to_string(version) });
        m_published[version] = m_loop.now();
    }
    const std::map<std::uint64_t, TimePoint> &published() const { return m_published; }
    /// Time when `version` or a newer one came into force at daemon `index`; the maximum if none
    /// did.
    TimePoint inForceSince(std::size_t index, std::uint64_t version) const
    {
        const auto &history = m_hosts[index]->history;
        const auto found = history.lower_bound(version);
        return found == history.end() ? TimePoint::max() : found->second;
    }
    bool isInForceEverywhere(std::uint64_t version) const
    {
        for (std::size_t i = 0; i < size(); ++i) {
            if (inForceSince(i, version) == TimePoint::max()) {
                return false;
            }
        }
        return true;
    }

    void setService(std::size_t index, SimulatedLog::Service service)
    {
        m_hosts[index]->setService(service);
    }
    /// The daemon's connections to the log go silent; later ones are served.
    void loseConnections(std::size_t index)
    {
        m_hosts[index]->log.loseConnection();
        m_hosts[index]->watchLog.loseConnection();
    }
    void setServiceForAll(SimulatedLog::Service service)
    {
        for (const auto &host : m_hosts) {
            host->setService(service);
        }
    }
    /// Messages between this failure domain and the others are lost.
    void partition(std::size_t domain) { m_partitionedDomains.insert(domain); }
    void heal() { m_partitionedDomains.clear(); }
    std::size_t domainOf(std::size_t index) const { return index % m_deployment.domains; }

    /// Number of reads of the configuration stream and of the member directory.
    std::size_t reads() const { return m_stream.reads + m_directory.reads; }
    std::size_t registeredDaemons() const { return m_directory.records.size(); }
    std::size_t messages() const { return m_messages; }
    std::size_t bytes() const { return m_bytes; }

private:
    static constexpr char KEY[] = "newest";

    struct Host : public IControlExchange
    {
        Host(SimulatedFollowers &deployment, std::size_t index)
            : owner(deployment)
            , self(index)
            , log(deployment.m_loop, deployment.m_stream)
            , watchLog(deployment.m_loop, deployment.m_stream)
            , directoryLog(deployment.m_loop, deployment.m_directory)
            , random(deployment.m_random.next())
        {
            DocumentFollowerSettings settings;
            settings.stream = StreamName("configurations");
            settings.key = KEY;
            settings.self = idOf(index);
            settings.domain = nameOf(deployment.domainOf(index));
            settings.freshness.readTimeout = KEYED_LOG_TIMEOUT;
            settings.readersPerDomain = deployment.m_deployment.readersPerDomain;
            ConfigurationEvents events;
            events.onConfiguration = [this](const ConfigurationPtr &configuration,
                                            const ConfigurationOrigin & /*origin*/) {
                history[configuration->version.value()] = owner.now();
            };
            follower = std::make_unique<DocumentFollower>(settings, owner.m_loop,
                                                          DocumentLogs{ log, watchLog }, reader,
                                                          *this, random, events);
            makeDirectory();
        }

        void makeDirectory()
        {
            MemberDirectorySettings settings;
            settings.stream = StreamName("members");
            settings.self = idOf(self);
            settings.selfSeed = { Endpoint{ "10.0.0.1", static_cast<std::uint16_t>(self + 1) },
                                  nameOf(owner.domainOf(self)) };
            directory = std::make_unique<MemberDirectory>(
                settings, owner.m_loop, directoryLog, random, owner.m_observers.observers(),
                [](const MembershipSeed & /*seed*/) {}, [](std::size_t /*daemons*/) {},
                [this] { return owner.size(); });
        }

        void setService(SimulatedLog::Service service)
        {
            log.setService(service);
            watchLog.setService(service);
            directoryLog.setService(service);
        }
        void stop()
        {
            follower->stop();
            directory->stop();
        }

        std::vector<ControlPeer> peers() const override
        {
            std::vector<ControlPeer> peers;
            for (std::size_t i = 0; i < owner.m_deployment.daemons; ++i) {
                if (i != self) {
                    peers.push_back({ idOf(i), nameOf(owner.domainOf(i)) });
                }
            }
            return peers;
        }
        void send(const DaemonId &to, std::string payload) override
        {
            owner.deliver(self, to, std::move(payload));
        }

        SimulatedFollowers &owner;
        std::size_t self;
        SimulatedLog log;
        SimulatedLog watchLog;
        SimulatedLog directoryLog;
        SeededRandom random;
        NumberReader reader;
        std::map<std::uint64_t, TimePoint> history;
        std::unique_ptr<DocumentFollower> follower;
        std::unique_ptr<MemberDirectory> directory;
    };

    static DaemonId idOf(std::size_t index) { return DaemonId("daemon-" + std::to_string(index)); }
    static DomainName nameOf(std::size_t domain)
    {
        return DomainName("domain-" + std::to_string(domain));
    }
    static std::size_t indexOf(const DaemonId &daemon)
    {
        return std::stoul(daemon.value().substr(sizeof("daemon-") - 1));
    }

    void deliver(std::size_t from, const DaemonId &to, std::string payload)
    {
        constexpr Duration DELAY = std::chrono::milliseconds(1);
        constexpr std::uint64_t HUNDRED = 100;
        ++m_messages;
        m_bytes += payload.size();
        const std::size_t target = indexOf(to);
        if (isPartitioned(from, target) || m_random.below(HUNDRED) < m_deployment.lossPercent) {
            return;
        }
        m_loop.callLater(DELAY, [this, from, target, payload = std::move(payload)] {
            m_hosts[target]->follower->receive(idOf(from), payload);
        });
    }

    bool isPartitioned(std::size_t from, std::size_t to) const
    {
        const std::size_t fromDomain = domainOf(from);
        const std::size_t toDomain = domainOf(to);
        return fromDomain != toDomain
            && m_partitionedDomains.count(fromDomain) + m_partitionedDomains.count(toDomain) > 0;
    }

    SimulatedDeployment m_deployment;
    SimulatedEventLoop m_loop;
    SeededRandom m_random;
    SimulatedStream m_stream;
    SimulatedStream m_directory;
    SilentObservers m_observers;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::uint64_t, TimePoint> m_published;
    std::set<std::size_t> m_partitionedDomains;
    std::size_t m_messages = 0;
    std::size_t m_bytes = 0;
};

} // namespace ivyspar
