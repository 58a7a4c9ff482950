#include "app/internal/controlnode.h"

#include <random>
#include <utility>

#include "app/internal/statusdocument.h"
#include "protocol/configurationreaderfactory.h"
#include "state/internal/seededrandom.h"
#include "state/rank.h"
#include "transport/logservicefactory.h"
#include "transport/oneshot.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

constexpr Duration STATUS_TIMEOUT = std::chrono::seconds(2);
constexpr std::uint16_t OK = 200;
constexpr std::uint16_t NOT_FOUND = 404;
constexpr std::uint16_t UNAVAILABLE = 503;

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

HttpClientLimits makeLogClientLimits()
{
    HttpClientLimits limits;
    limits.bodyBytes = LOG_RESPONSE_BYTES;
    return limits;
}

LogServiceSettings makeLogSettings(const DaemonSettings &settings)
{
    LogServiceSettings log;
    log.endpoints = settings.logEndpoints;
    log.clientName = settings.id.value();
    return log;
}

HttpResponse makeAnswer(std::uint16_t status, const char *type, std::string body)
{
    return HttpResponse{ status, { { "Content-Type", type } }, std::move(body) };
}

} // namespace

ControlNode::ControlNode(IEventLoop &loop, const DaemonSettings &settings, Member self,
                         TrafficPort traffic, Observers observers)
    : m_loop(loop)
    , m_settings(settings)
    , m_traffic(std::move(traffic))
    , m_observers(observers)
    , m_random(std::make_unique<SeededRandom>(randomSeed()))
    , m_membership(loop, *m_random, std::move(self), makeControlEvents())
    , m_operatorServer(makeHttpServer(loop))
    , m_logClient(makeHttpClient(loop, makeLogClientLimits()))
    , m_log(makeHttpLogService(makeLogSettings(settings), *m_logClient))
    , m_reader(makeConfigurationReader())
    , m_follower(std::make_unique<ConfigurationFollower>(
          makeFollowerSettings(), loop, *m_log, *m_reader, *this, *m_random, makeFollowerEvents()))
{
}

ControlNode::~ControlNode() = default;

ControlEvents ControlNode::makeControlEvents()
{
    ControlEvents events;
    events.onMembers = [this](std::vector<Member> members) { onMembers(std::move(members)); };
    events.send = m_traffic.send;
    events.onDuplicate = m_traffic.stopForDuplicate;
    return events;
}

RetVal<Endpoint> ControlNode::listen()
{
    HttpLimits limits;
    limits.connections = 64;
    return m_operatorServer->listen(
        m_settings.operatorListen, limits,
        [this](IHttpExchange &exchange) { return handleOperator(exchange); });
}

void ControlNode::start()
{
    useBootstrap();
    m_membership.start(m_settings.seeds);
    m_follower->start();
}

void ControlNode::receive(const ControlMessage &message)
{
    if (m_follower->receive(message.from, message.payload)) {
        return;
    }
    m_membership.receive(message.from, message.payload);
}

void ControlNode::startLeaving()
{
    m_isLeaving = true;
    m_membership.startLeaving();
}

void ControlNode::stop(Duration timeout)
{
    m_follower->stop();
    m_operatorServer->drain(timeout);
}

std::vector<ControlPeer> ControlNode::peers() const
{
    std::vector<ControlPeer> peers;
    for (const Member &member : m_membership.working()) {
        if (member.id != m_settings.id) {
            peers.push_back(ControlPeer{ member.id, member.domain });
        }
    }
    return peers;
}

void ControlNode::send(const DaemonId &to, std::string payload)
{
    for (const Member &member : m_membership.working()) {
        if (member.id == to) {
            m_traffic.send(to, member.peerEndpoint, std::move(payload));
            return;
        }
    }
}

ConfigurationFollowerSettings ControlNode::makeFollowerSettings() const
{
    ConfigurationFollowerSettings settings;
    settings.self = m_settings.id;
    settings.domain = m_settings.domain;
    return settings;
}

ConfigurationFollowerEvents ControlNode::makeFollowerEvents()
{
    ConfigurationFollowerEvents events;
    events.onConfiguration = [this](ConfigurationPtr configuration) {
        useConfiguration(configuration);
    };
    events.onNotice = [this](const std::string &text) {
        m_observers.log.write(LogLevel::Info, text);
    };
    return events;
}

void ControlNode::onMembers(std::vector<Member> members)
{
    m_observers.metrics.set(Gauge::Members, static_cast<std::int64_t>(members.size()));
    if (m_observers.decisions.isEnabled()) {
        Decision decision;
        decision.kind = DecisionKind::Membership;
        decision.choice = std::to_string(members.size());
        decision.reason = "working-members";
        m_observers.decisions.write(std::move(decision));
    }
    m_traffic.setMembers(std::move(members));
}

void ControlNode::useBootstrap()
{
    if (!m_settings.bootstrap) {
        return;
    }
    const ReadConfiguration read = m_reader->read(*m_settings.bootstrap, m_settings.inventoryFile,
                                                  m_settings.rulesFile, ConfigurationVersion(0));
    if (read.configuration) {
        useConfiguration(read.configuration);
    }
}

void ControlNode::useConfiguration(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
    m_observers.metrics.set(Gauge::ConfigurationVersion,
                            static_cast<std::int64_t>(configuration->version.value()));
    if (m_observers.decisions.isEnabled()) {
        Decision decision;
        decision.kind = DecisionKind::Configuration;
        decision.choice = std::to_string(configuration->version.value());
        decision.reason = "in-force";
        m_observers.decisions.write(std::move(decision));
    }
    m_traffic.setConfiguration(configuration);
}

HttpResponse ControlNode::handleOperator(IHttpExchange &exchange)
{
    const std::string &target = exchange.request().target;
    if (target == "/healthz") {
        return answerHealth();
    }
    if (target == "/status") {
        return answerStatus();
    }
    if (target == "/metrics") {
        return answerMetrics();
    }
    return makeAnswer(NOT_FOUND, "text/plain", "try /healthz, /status or /metrics\n");
}

HttpResponse ControlNode::answerHealth() const
{
    if (m_isLeaving) {
        return makeAnswer(UNAVAILABLE, "text/plain", "leaving\n");
    }
    if (!m_configuration) {
        return makeAnswer(UNAVAILABLE, "text/plain", "no configuration yet\n");
    }
    return makeAnswer(OK, "text/plain", "ok\n");
}

TrafficStatus ControlNode::fetchTraffic()
{
    // Shared, as the answer of the traffic thread may come after this handler gave up.
    const auto answer = std::make_shared<OneShot<TrafficStatus>>(m_loop);
    m_traffic.fetchStatus([this, answer](TrafficStatus traffic) {
        m_loop.post([answer, traffic = std::move(traffic)] { answer->set(traffic); });
    });
    return answer->wait(STATUS_TIMEOUT).value_or(TrafficStatus{});
}

HttpResponse ControlNode::answerMetrics()
{
    const TrafficStatus traffic = fetchTraffic();
    IMetrics &metrics = m_observers.metrics;
    metrics.set(Gauge::RequestsInFlight, static_cast<std::int64_t>(traffic.requests));
    metrics.set(Gauge::CallerConnections, static_cast<std::int64_t>(traffic.callerConnections));
    metrics.set(Gauge::PeerLinks, static_cast<std::int64_t>(traffic.links));
    LoadReport sum;
    for (const auto &[service, load] : traffic.gates) {
        sum.inFlight += load.inFlight;
        sum.queued += load.queued;
        sum.limit += load.limit;
        sum.floor = std::max(sum.floor, load.floor);
    }
    metrics.set(Gauge::GateInFlight, sum.inFlight);
    metrics.set(Gauge::GateQueued, sum.queued);
    metrics.set(Gauge::GateLimit, sum.limit);
    metrics.set(Gauge::GateFloorPriority, priorityOf(sum.floor).value());
    return makeAnswer(OK, "text/plain; version=0.0.4", metrics.text());
}

HttpResponse ControlNode::answerStatus()
{
    DaemonStatus status;
    status.traffic = fetchTraffic();
    status.self = m_membership.self();
    status.isLeaving = m_isLeaving;
    status.configuration = m_configuration;
    status.configurationStatus = m_follower->status();
    status.members = m_membership.all();
    return makeAnswer(OK, "application/json", makeStatusDocument(status));
}

} // namespace ivyspar
