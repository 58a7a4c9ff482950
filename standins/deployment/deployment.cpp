#include "standins/deployment/deployment.h"

#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "standins/deployment/blockinghttp.h"

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;

constexpr Duration START_TIMEOUT = std::chrono::seconds(20);
constexpr Duration STATUS_TIMEOUT = std::chrono::seconds(2);
constexpr Duration STOP_TIMEOUT = std::chrono::seconds(10);
constexpr Duration POLL = std::chrono::milliseconds(20);

Endpoint endpointOf(const Json &ready, const char *key)
{
    return Endpoint::parse(ready.value(key, "")).value_or(Endpoint{});
}

} // namespace

Deployment::Deployment(DeploymentOptions options, const CallGraph &graph)
    : m_options(std::move(options))
    , m_graph(graph)
{
    for (const GraphService &service : graph.services) {
        for (std::uint32_t i = 0; i < service.servers; ++i) {
            DeployedHost host;
            host.name = service.name + '-' + std::to_string(i + 1);
            host.service = service.name;
            host.domain = graph.domains[i % graph.domains.size()];
            m_hosts.push_back(std::move(host));
        }
    }
}

Deployment::~Deployment() = default;

bool Deployment::start(std::string &error)
{
    if (m_options.hasLog && !startLog(error)) {
        return false;
    }
    for (DeployedHost &host : m_hosts) {
        if (!startHost(host, error)) {
            return false;
        }
    }
    return startUpstreams(error) && waitUntilComplete(START_TIMEOUT, error);
}

bool Deployment::startLog(std::string &error)
{
    const std::string ready = m_options.folder + "/log.ready";
    m_log = ChildProcess(m_options.labBinary, { "log", "--ready_file", ready },
                         m_options.folder + "/log.out");
    const Json document = Json::parse(waitForFile(ready, START_TIMEOUT), nullptr, false);
    if (!document.is_object()) {
        error = "the log stand-in did not start";
        return false;
    }
    m_logEndpoint = endpointOf(document, "endpoint");
    return true;
}

std::vector<std::string> Deployment::makeDaemonFlags(const DeployedHost &host,
                                                     const std::string &readyFile) const
{
    std::vector<std::string> flags{ "daemon",
                                    "--daemon_id=" + host.name,
                                    "--domain=" + host.domain,
                                    "--caller_listen=127.0.0.1:0",
                                    "--upstream_listen=127.0.0.1:0",
                                    "--operator_listen=127.0.0.1:0",
                                    "--peer_listen=127.0.0.1:0",
                                    "--inventory=" + m_options.inventoryFile,
                                    "--rules=" + m_options.rulesFile,
                                    "--ready_file=" + readyFile };
    if (m_options.hasLog) {
        flags.push_back("--log_endpoints=" + m_logEndpoint.text());
    }
    if (host.link) {
        flags.push_back("--peer_advertise=" + host.link->endpoint().text());
    }
    for (const DeployedHost &other : m_hosts) {
        if (other.peer.port != 0 && other.name != host.name) {
            flags.push_back("--seeds=" + other.peer.text());
            break;
        }
    }
    flags.insert(flags.end(), m_options.daemonFlags.begin(), m_options.daemonFlags.end());
    return flags;
}

bool Deployment::startHost(DeployedHost &host, std::string &error)
{
    const std::string ready =
        m_options.folder + '/' + host.name + '.' + std::to_string(++m_starts) + ".ready";
    const std::string output = m_options.folder + '/' + host.name + ".out";
    if (m_options.hasLinks && !host.link) {
        host.link = std::make_unique<TcpLink>();
    }
    host.process = ChildProcess(m_options.binary, makeDaemonFlags(host, ready), output);
    const Json document = Json::parse(waitForFile(ready, START_TIMEOUT), nullptr, false);
    if (!document.is_object()) {
        error = "the daemon " + host.name + " did not start; see " + output;
        return false;
    }
    host.caller = endpointOf(document, "caller");
    host.upstream = endpointOf(document, "upstream");
    host.peer = endpointOf(document, "peer");
    host.operators = endpointOf(document, "operator");
    if (host.link) {
        host.link->setTarget(host.peer);
        host.peer = host.link->endpoint();
    }
    return true;
}

bool Deployment::restartHost(DeployedHost &host, std::string &error)
{
    if (!startHost(host, error)) {
        return false;
    }
    const HttpRequest request{ "POST", "/daemon?server=" + host.name, {}, host.upstream.text() };
    const auto answer = exchangeBlocking(m_upstreamControl, request, STATUS_TIMEOUT);
    if (!answer) {
        error = "the stand-in upstreams do not answer";
    }
    return answer.has_value();
}

void Deployment::separate(const std::set<std::string> &domains)
{
    const auto isInside = [&](const DeployedHost &host) { return domains.count(host.domain) > 0; };
    for (const DeployedHost &host : m_hosts) {
        std::set<pid_t> others;
        for (const DeployedHost &other : m_hosts) {
            if (isInside(other) != isInside(host)) {
                others.insert(other.process.pid());
            }
        }
        host.link->setSilentFor(std::move(others));
    }
}

bool Deployment::startUpstreams(std::string &error)
{
    const std::string ready = m_options.folder + "/upstreams.ready";
    std::vector<std::string> flags{ "upstreams", "--graph", m_graph.deployment, "--ready_file",
                                    ready };
    for (const DeployedHost &host : m_hosts) {
        for (const GraphService &service : m_graph.services) {
            if (service.name == host.service) {
                flags.push_back("--server=" + host.name + ',' + service.name + ','
                                + std::to_string(service.slots) + ','
                                + std::to_string(service.connections) + ',' + host.upstream.text());
            }
        }
    }
    flags.insert(flags.end(), m_options.upstreamFlags.begin(), m_options.upstreamFlags.end());
    m_upstreams = ChildProcess(m_options.labBinary, flags, m_options.folder + "/upstreams.out");
    const Json document = Json::parse(waitForFile(ready, START_TIMEOUT), nullptr, false);
    if (!document.is_object()) {
        error = "the stand-in upstreams did not start";
        return false;
    }
    m_upstreamControl = endpointOf(document, "control");
    for (const DeployedHost &host : m_hosts) {
        m_upstreamEndpoints[host.name] = endpointOf(document, host.name.c_str());
    }
    return true;
}

std::vector<Endpoint> Deployment::upstreamEndpoints(const std::string &service) const
{
    std::vector<Endpoint> endpoints;
    for (const DeployedHost &host : m_hosts) {
        if (host.service == service) {
            endpoints.push_back(m_upstreamEndpoints.at(host.name));
        }
    }
    return endpoints;
}

void Deployment::finish()
{
    for (DeployedHost &host : m_hosts) {
        host.process.signal(SIGTERM);
    }
    for (DeployedHost &host : m_hosts) {
        host.process.stop(STOP_TIMEOUT);
    }
    m_upstreams.stop(STOP_TIMEOUT);
    m_log.stop(STOP_TIMEOUT);
    m_isFinished = true;
}

void Deployment::killAll()
{
    for (const DeployedHost &host : m_hosts) {
        host.process.signal(SIGKILL);
    }
    m_upstreams.signal(SIGKILL);
    m_log.signal(SIGKILL);
}

std::vector<Endpoint> Deployment::callerEndpoints() const
{
    std::vector<Endpoint> endpoints;
    for (const DeployedHost &host : m_hosts) {
        endpoints.push_back(host.caller);
    }
    return endpoints;
}

bool Deployment::waitUntilComplete(Duration timeout, std::string &error)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (DeployedHost &host : m_hosts) {
        while (!isComplete(host)) {
            if (std::chrono::steady_clock::now() >= deadline) {
                error = "the daemon " + host.name + " does not know all servers";
                return false;
            }
            std::this_thread::sleep_for(POLL);
        }
    }
    return true;
}

bool Deployment::isComplete(DeployedHost &host)
{
    const auto answer =
        exchangeBlocking(host.operators, HttpRequest{ "GET", "/status", {}, {} }, STATUS_TIMEOUT);
    const Json status = answer ? Json::parse(answer->body, nullptr, false) : Json();
    if (!status.is_object()) {
        return false;
    }
    std::size_t serving = 0;
    for (const Json &member : status.value("members", Json::array())) {
        const bool isServing = member.value("health", "") == "alive"
            && !member.value("upstreams", Json::array()).empty();
        serving += isServing ? 1 : 0;
    }
    const bool hasRules = status.value("has_configuration", false);
    return serving == m_hosts.size() && hasRules;
}

} // namespace ivyspar::lab
