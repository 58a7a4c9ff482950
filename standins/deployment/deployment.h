#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "standins/deployment/childprocess.h"
#include "standins/graph/callgraph.h"
#include "standins/link/tcplink.h"
#include "state/endpoint.h"

namespace ivyspar::lab {

struct DeploymentOptions
{
    /// `ivyspar` and `ivyspar-lab`.
    std::string binary;
    std::string labBinary;
    /// A new, empty folder for ready files and outputs.
    std::string folder;
    std::string inventoryFile;
    std::string rulesFile;
    /// More flags for each daemon.
    std::vector<std::string> daemonFlags;
    std::vector<std::string> upstreamFlags;
    bool hasLog = true;
    /// Other daemons reach each daemon through a link that can be cut.
    bool hasLinks = false;
};

/// One host: its daemon, and the name of the server that announces itself there.
struct DeployedHost
{
    std::string name;
    std::string service;
    std::string domain;
    ChildProcess process;
    Endpoint caller;
    Endpoint upstream;
    Endpoint peer;
    Endpoint operators;
    /// Null without links.
    std::unique_ptr<TcpLink> link;
};

/// A whole deployment as processes on loopback: a daemon for each server, one process with all
/// stand-in upstreams, and the log stand-in. All end with this object.
class Deployment
{
public:
    Deployment(DeploymentOptions options, const CallGraph &graph);
    ~Deployment();

    /// Starts everything and waits until each daemon knows all servers and a configuration.
    /// On failure says in `error` what is missing.
    bool start(std::string &error);

    std::vector<DeployedHost> &hosts() { return m_hosts; }
    std::vector<Endpoint> callerEndpoints() const;
    /// Where the stand-in servers of a service listen themselves.
    std::vector<Endpoint> upstreamEndpoints(const std::string &service) const;
    const Endpoint &upstreamControl() const { return m_upstreamControl; }
    const Endpoint &logEndpoint() const { return m_logEndpoint; }
    ChildProcess &upstreams() { return m_upstreams; }
    ChildProcess &log() { return m_log; }
    /// Cuts the daemons of these failure domains off from all other daemons, both ways. An empty
    /// set ends the partition. Needs links.
    void separate(const std::set<std::string> &domains);
    /// Starts a host's daemon again after its end, and tells its server.
    bool restartHost(DeployedHost &host, std::string &error);
    /// Restarts a host's daemon with fresh ports, as after a crash.
    bool startHost(DeployedHost &host, std::string &error);
    /// Ends all processes in an orderly way.
    void finish();
    bool isFinished() const { return m_isFinished; }
    /// Kills all processes; may be called from another thread than the others.
    void killAll();
    bool waitUntilComplete(Duration timeout, std::string &error);

private:
    bool startLog(std::string &error);
    bool startUpstreams(std::string &error);
    std::vector<std::string> makeDaemonFlags(const DeployedHost &host,
                                             const std::string &readyFile) const;
    bool isComplete(DeployedHost &host);

    DeploymentOptions m_options;
    const CallGraph &m_graph;
    std::vector<DeployedHost> m_hosts;
    ChildProcess m_log;
    ChildProcess m_upstreams;
    Endpoint m_logEndpoint;
    Endpoint m_upstreamControl;
    std::map<std::string, Endpoint> m_upstreamEndpoints;
    std::uint32_t m_starts = 0;
    std::atomic<bool> m_isFinished{ false };
};

} // namespace ivyspar::lab
