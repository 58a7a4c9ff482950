#pragma once

#include <memory>
#include <string>
#include <vector>

#include "app/internal/control/configurationfollower.h"
#include "standins/control/localcontrolnetwork.h"
#include "standins/log/inprocesshttpclient.h"
#include "standins/log/logserver.h"
#include "state/internal/seededrandom.h"

namespace ivyspar::lab {

struct FollowerClusterSettings
{
    LogLimits log;
    /// Timing of the followers; `self` and `domain` are set for each.
    ConfigurationFollowerSettings follower;
    /// One way between daemons.
    Duration networkDelay = std::chrono::microseconds(500);
    Duration logTimeout = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

/// One daemon's part that follows the configuration, with a log client of its own.
struct FollowerHost
{
    ControlPeer peer;
    std::unique_ptr<InProcessHttpClient> client;
    std::unique_ptr<ILogService> log;
    std::unique_ptr<IControlExchange> exchange;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<ConfigurationFollower> follower;
    /// All versions that came into force, in order.
    std::vector<ConfigurationVersion> history;
    TimePoint lastChange;

    std::uint64_t version() const { return history.empty() ? 0 : history.back().value(); }
};

/// Many followers, the log stand-in and a network between them on one loop, without sockets.
class FollowerCluster
{
public:
    FollowerCluster(IEventLoop &loop, const IConfigurationReader &reader,
                    FollowerClusterSettings settings);
    ~FollowerCluster();

    /// Starts a daemon's follower. Its log client's name is the id.
    FollowerHost &add(const std::string &id, const std::string &domain);
    /// Suspends until the follower has ended.
    void remove(const std::string &id);
    /// Suspends until all have ended; before destruction.
    void stop();

    std::vector<std::unique_ptr<FollowerHost>> &hosts() { return m_hosts; }
    LogCore &log() { return m_core; }
    LogServer &server() { return m_server; }
    LocalControlNetwork &network() { return m_network; }
    /// A log client for others than followers.
    std::unique_ptr<ILogService> makeLog(const std::string &clientName,
                                         std::unique_ptr<InProcessHttpClient> &client);

private:
    IEventLoop &m_loop;
    const IConfigurationReader &m_reader;
    FollowerClusterSettings m_settings;
    LogCore m_core;
    LogServer m_server;
    LocalControlNetwork m_network;
    std::vector<std::unique_ptr<FollowerHost>> m_hosts;
    std::uint64_t m_started = 0;
};

} // namespace ivyspar::lab
