#include "app/internal/control/controlnode.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <utility>

#include "app/internal/control/configurationfollower.h"
#include "app/internal/control/documentfollower.h"
#include "app/internal/control/instrumentedlog.h"
#include "app/internal/control/logaccess.h"
#include "app/internal/control/statusdocument.h"
#include "protocol/accountexchange.h"
#include "protocol/balanceexchange.h"
#include "protocol/configurationreaderfactory.h"
#include "protocol/internal/peercodec.h"
#include "protocol/suspectexchange.h"
#include "state/randomfactory.h"
#include "state/rank.h"
#include "transport/oneshot.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

constexpr Duration STATUS_TIMEOUT = std::chrono::seconds(2);
constexpr std::uint16_t OK = 200;
constexpr std::uint16_t NOT_FOUND = 404;
constexpr std::uint16_t METHOD_NOT_ALLOWED = 405;
constexpr std::uint16_t UNAVAILABLE = 503;
/// Path prefix that is followed by the fingerprint.
constexpr char LIFT_PREFIX[] = "/quarantine/lift/";
constexpr double THOUSANDTHS = 1000;
/// Value of the metric while no server of this host states a limit; 0 is a limit.
constexpr std::int64_t NO_RATE_LIMIT = -1;
constexpr std::int64_t NO_SPEED = -1;

HttpResponse makeAnswer(std::uint16_t status, const char *type, std::string body)
{
    return HttpResponse{ status, { { "Content-Type", type } }, std::move(body) };
}

} // namespace

ControlNode::ControlNode(IEventLoop &loop, const DaemonSettings &settings,
                         const IPlatform &platform, Member self, TrafficPort traffic,
                         Observers observers)
    : m_loop(loop)
    , m_settings(settings)
    , m_traffic(std::move(traffic))
    , m_observers(observers)
    , m_recorder(observers)
    , m_random(makeRandom())
    , m_codec(std::make_unique<PeerCodec>())
    , m_datagrams(makeDatagramSocket(loop))
    , m_channel(m_settings.id, *m_datagrams, *m_codec, m_observers, m_traffic.send,
                [this](const ControlMessage &message) { receive(message); })
    , m_membership(loop, *m_random, std::move(self), makeControlEvents())
    , m_exchange(m_membership, makeSend())
    , m_operatorServer(makeHttpServer(loop))
    , m_readinessServer(makeHttpServer(loop))
{
    if (m_settings.ablations.datagrams) {
        m_channel.useLinksOnly();
    }
    makeConfigurationDriver(platform);
    makeDirectory(platform);
    makeSuspectStore(platform);
}

ControlNode::~ControlNode() = default;

void ControlNode::makeConfigurationDriver(const IPlatform &platform)
{
    m_documentReader = platform.makeDocumentReader();
    if (m_documentReader) {
        DocumentFollowerSettings follower;
        follower.stream = m_settings.streams.configuration;
        follower.key = m_settings.streams.configurationKey;
        follower.self = m_settings.id;
        follower.domain = m_settings.domain;
        follower.freshness.readTimeout = KEYED_LOG_TIMEOUT;
        follower.freshness.applyWithin = m_settings.applyWithin;
        if (m_settings.ablations.readers) {
            follower.readersPerDomain = std::numeric_limits<std::uint32_t>::max();
        }
        m_configurationLog = makeKeyedLog(platform);
        m_configurationWatchLog = makeKeyedLog(platform);
        m_configurationDriver = std::make_unique<DocumentFollower>(
            follower, m_loop, DocumentLogs{ *m_configurationLog, *m_configurationWatchLog },
            *m_documentReader, m_exchange, *m_random, makeConfigurationEvents());
        return;
    }
    ConfigurationFollowerSettings follower;
    follower.self = m_settings.id;
    follower.domain = m_settings.domain;
    follower.snapshot.retention = m_settings.logRetention;
    m_logClient = makeLogClient(m_loop);
    m_log = makeLog(m_settings, *m_logClient);
    m_configurationReader = makeConfigurationReader();
    m_configurationDriver =
        std::make_unique<ConfigurationFollower>(follower, m_loop, *m_log, *m_configurationReader,
                                                m_exchange, *m_random, makeConfigurationEvents());
}

void ControlNode::makeDirectory(const IPlatform &platform)
{
    if (m_settings.streams.members.value().empty()) {
        return;
    }
    m_directoryLog = makeKeyedLog(platform);
    MemberDirectorySettings directory;
    directory.stream = m_settings.streams.members;
    directory.self = m_settings.id;
    directory.selfSeed = { m_membership.self().peerEndpoint, m_membership.self().domain };
    m_directory = std::make_unique<MemberDirectory>(
        directory, m_loop, *m_directoryLog, *m_random, m_observers,
        [this](const MembershipSeed &seed) { m_membership.addSeed(seed); },
        [this](std::size_t daemons) { m_traffic.setDirectorySize(daemons); },
        [this] { return m_membership.availableMembers().size(); });
}

void ControlNode::makeSuspectStore(const IPlatform &platform)
{
    if (m_settings.streams.suspects.value().empty() || m_settings.ablations.quarantine) {
        return;
    }
    m_suspectLog = makeKeyedLog(platform);
    SuspectStoreSettings store;
    store.stream = m_settings.streams.suspects;
    m_suspects = std::make_unique<SuspectStore>(
        store, m_loop, *m_suspectLog, *m_random, m_observers,
        [this](std::vector<SuspectRecord> stored, const SuspectStore::OnSynced &onSynced) {
            m_traffic.syncSuspects(
                std::move(stored), [this, onSynced](SuspectStoreChanges changes) {
                    m_loop.post([onSynced, changes = std::move(changes)] { onSynced(changes); });
                });
        },
        [this] { return m_membership.availableMembers().size(); }, [this] { onSuspectsRead(); });
}

void ControlNode::onSuspectsRead()
{
    if (const auto use = std::exchange(m_useHeldConfiguration, {})) {
        use();
    }
}

void ControlNode::onUnsavedSuspects()
{
    if (m_suspects) {
        m_suspects->onUnsaved();
    }
}

std::unique_ptr<IKeyedLog> ControlNode::makeKeyedLog(const IPlatform &platform)
{
    return std::make_unique<InstrumentedLog>(platform.makeKeyedLog(m_loop, m_settings), m_loop,
                                             m_observers.metrics);
}

ControlSend ControlNode::makeSend()
{
    return [this](const DaemonId &to, const Endpoint &endpoint, std::string payload) {
        m_channel.send(to, endpoint, std::move(payload));
    };
}

ControlEvents ControlNode::makeControlEvents()
{
    ControlEvents events;
    events.onMembers = [this](std::vector<Member> members) { onMembers(std::move(members)); };
    events.send = makeSend();
    events.onDuplicate = [this] {
        m_observers.log.error("membership: a record under the id " + m_settings.id.value()
                              + " was newer than that of this daemon; does another daemon use it?");
    };
    return events;
}

ConfigurationEvents ControlNode::makeConfigurationEvents()
{
    ConfigurationEvents events;
    events.onConfiguration = [this](const ConfigurationPtr &configuration,
                                    const ConfigurationOrigin &origin) {
        useConfiguration(configuration, origin);
    };
    events.onLogContact = [this](const LogContact &contact) {
        m_recorder.recordLogContact(contact);
    };
    events.onConfirmed = m_traffic.confirm;
    events.onNotice = [this](const std::string &text) { m_observers.log.info(text); };
    return events;
}

RetVal<Endpoint> ControlNode::listen(const Endpoint &peers)
{
    if (const Ret listening = m_channel.listen(peers); !listening) {
        return tl::unexpected<Error>(listening.error());
    }
    RetVal<Endpoint> bound = listenAt(*m_operatorServer, m_settings.operatorListen);
    if (!bound || m_settings.readinessListen.port == 0) {
        return bound;
    }
    RetVal<Endpoint> readiness = listenAt(*m_readinessServer, m_settings.readinessListen);
    return readiness ? bound : readiness;
}

RetVal<Endpoint> ControlNode::listenAt(IHttpServer &server, const Endpoint &endpoint)
{
    HttpLimits limits;
    limits.connections = 64;
    return server.listen(endpoint, limits,
                         [this](IHttpExchange &exchange) { return handleOperator(exchange); });
}

void ControlNode::start()
{
    useBootstrap();
    m_membership.start(m_settings.seeds);
    if (m_directory) {
        m_directory->start();
    }
    if (m_suspects) {
        m_suspects->start();
    }
    m_configurationDriver->start();
}

void ControlNode::receive(const ControlMessage &message)
{
    if (isSuspectMessage(message.payload)) {
        m_traffic.receiveSuspects(message.from, message.payload);
        return;
    }
    if (isAccountMessage(message.payload)) {
        m_traffic.receiveAccounts(message.from, message.payload);
        return;
    }
    if (isBalanceMessage(message.payload)) {
        m_traffic.receiveBalance(message.from, message.payload);
        return;
    }
    if (!m_configurationDriver->receive(message.from, message.payload)) {
        m_membership.receive(message.from, message.payload);
    }
}

void ControlNode::stop(Duration timeout)
{
    m_configurationDriver->stop();
    if (m_directory) {
        m_directory->stop();
    }
    if (m_suspects) {
        m_suspects->stop();
    }
    m_readinessServer->drain(timeout);
    m_operatorServer->drain(timeout);
}

void ControlNode::onMembers(std::vector<Member> members)
{
    m_recorder.recordMembers(members);
    m_traffic.setMembers(std::move(members));
}

void ControlNode::useBootstrap()
{
    if (!m_settings.bootstrap) {
        return;
    }
    const auto reader = makeConfigurationReader();
    const ReadConfiguration read = reader->read(*m_settings.bootstrap, m_settings.inventoryFile,
                                                m_settings.rulesFile, ConfigurationVersion(0));
    if (read.configuration) {
        useConfiguration(read.configuration, ConfigurationOrigin{ "files", std::nullopt });
    }
}

/// No request is passed on before the records of suspects were read: after a restart of all daemons
/// a request in quarantine would crash servers again.
void ControlNode::useConfiguration(const ConfigurationPtr &configuration,
                                   const ConfigurationOrigin &origin)
{
    if (m_suspects && !m_suspects->wasRead()) {
        m_useHeldConfiguration = [this, configuration, origin] {
            useConfiguration(configuration, origin);
        };
        return;
    }
    m_configuration = configuration;
    m_configuredAt = m_loop.now();
    m_recorder.recordConfiguration(configuration->version, origin);
    m_traffic.setConfiguration(configuration);
}

HttpResponse ControlNode::handleOperator(IHttpExchange &exchange)
{
    const std::string &target = exchange.request().target;
    const bool isReadiness =
        !m_settings.readinessPath.empty() && target == m_settings.readinessPath;
    if (target == "/healthz" || isReadiness) {
        return answerHealth();
    }
    if (target == "/status") {
        return answerStatus();
    }
    if (target == "/metrics") {
        return answerMetrics();
    }
    if (target.rfind(LIFT_PREFIX, 0) == 0) {
        return answerLift(exchange.request());
    }
    return makeAnswer(NOT_FOUND, "text/plain", "try /healthz, /status or /metrics\n");
}

HttpResponse ControlNode::answerLift(const HttpRequest &request)
{
    if (request.method != "POST") {
        return makeAnswer(METHOD_NOT_ALLOWED, "text/plain", "a quarantine is lifted by POST\n");
    }
    const Fingerprint fingerprint(request.target.substr(sizeof(LIFT_PREFIX) - 1));
    // Shared, as the answer of the traffic thread may come after this handler gave up.
    const auto answer = std::make_shared<OneShot<bool>>(m_loop);
    m_traffic.liftQuarantine(fingerprint, [this, answer](bool isKnown) {
        m_loop.post([answer, isKnown] { answer->set(isKnown); });
    });
    const auto isKnown = answer->wait(STATUS_TIMEOUT);
    if (!isKnown) {
        return makeAnswer(UNAVAILABLE, "text/plain", "the daemon is too busy to answer\n");
    }
    return *isKnown ? makeAnswer(OK, "text/plain", "lifted\n")
                    : makeAnswer(NOT_FOUND, "text/plain", "no such fingerprint is known\n");
}

HttpResponse ControlNode::answerHealth() const
{
    if (m_isUnready) {
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
    metrics.set(Gauge::PipelinedRequests, static_cast<std::int64_t>(traffic.pipelines.inProgress));
    metrics.set(Gauge::PipelinedBytes, static_cast<std::int64_t>(traffic.pipelines.bytes));
    countPipelines(traffic.pipelines);
    metrics.set(Gauge::RequestBytes, static_cast<std::int64_t>(traffic.requestBodies.bytes));
    metrics.set(Gauge::ResponseBytes, static_cast<std::int64_t>(traffic.responseBodies.bytes));
    countDropped(traffic);
    metrics.set(Gauge::PeerLinks, static_cast<std::int64_t>(traffic.links));
    if (m_configuration) {
        const auto age =
            std::chrono::duration_cast<std::chrono::seconds>(m_loop.now() - m_configuredAt);
        metrics.set(Gauge::ConfigurationAgeSeconds, age.count());
    }
    const auto quarantined = std::count_if(
        traffic.suspects.begin(), traffic.suspects.end(), [](const SuspectStatus &suspect) {
            return suspect.assessment.suspicion == Suspicion::Quarantined;
        });
    metrics.set(Gauge::ActiveAccounts, static_cast<std::int64_t>(traffic.activeAccounts));
    metrics.set(Gauge::SuspectRequests, static_cast<std::int64_t>(traffic.suspects.size()));
    metrics.set(Gauge::QuarantinedRequests, quarantined);
    LoadReport sum;
    std::optional<RequestRate> rateLimit;
    double sends = 0;
    SpeedShare lowestSpeed;
    std::int64_t onTime = 0;
    for (const GateStatus &gate : traffic.gates) {
        sum.inFlight += gate.load.inFlight;
        sum.queued += gate.load.queued;
        sum.limit += gate.load.limit;
        sum.floor = std::max(sum.floor, gate.load.floor);
        sends += gate.sendsPerSecond;
        const bool isLowest = lowestSpeed == SpeedShare() || gate.load.speed < lowestSpeed;
        if (gate.load.speed != SpeedShare() && isLowest) {
            lowestSpeed = gate.load.speed;
        }
        onTime += gate.queuedOnTime;
        if (gate.notice.rateLimit) {
            rateLimit = RequestRate(rateLimit.value_or(RequestRate()).value()
                                    + gate.notice.rateLimit->value());
        }
    }
    metrics.set(Gauge::GateInFlight, sum.inFlight);
    metrics.set(Gauge::GateQueued, sum.queued);
    metrics.set(Gauge::GateQueuedOnTime, onTime);
    metrics.set(Gauge::GateLimit, sum.limit);
    metrics.set(Gauge::GateFloorPriority, priorityOf(sum.floor).value());
    metrics.set(Gauge::GateRateLimit,
                rateLimit ? static_cast<std::int64_t>(rateLimit->value()) : NO_RATE_LIMIT);
    metrics.set(Gauge::GateServerSpeed,
                lowestSpeed == SpeedShare() ? NO_SPEED : std::int64_t(lowestSpeed.value()));
    metrics.set(Gauge::GateSendRate, std::llround(sends * THOUSANDTHS));
    return makeAnswer(OK, "text/plain; version=0.0.4", metrics.text());
}

void ControlNode::countPipelines(const PipelineStats &stats)
{
    countUpTo(Counter::PipelinedStarts, m_countedPipelines.started, stats.started);
    countUpTo(Counter::PipelinedTurnWaits, m_countedPipelines.waitedForTurn, stats.waitedForTurn);
    countUpTo(Counter::PipelinedOrderWaits, m_countedPipelines.waitedForOrder,
              stats.waitedForOrder);
    countUpTo(Counter::PipelinedLimitWaits, m_countedPipelines.waitedForLimit,
              stats.waitedForLimit);
}

void ControlNode::countDropped(const TrafficStatus &traffic)
{
    countUpTo(Counter::RequestBodiesDropped, m_countedRequestDrops, traffic.requestBodies.dropped);
    countUpTo(Counter::ResponseBodiesDropped, m_countedResponseDrops,
              traffic.responseBodies.dropped);
}

/// The figures are zero if the traffic thread did not answer in time.
void ControlNode::countUpTo(Counter counter, std::uint64_t &counted, std::uint64_t value)
{
    if (value > counted) {
        m_observers.metrics.add(counter, value - counted);
        counted = value;
    }
}

HttpResponse ControlNode::answerStatus()
{
    DaemonStatus status;
    status.traffic = fetchTraffic();
    status.self = m_membership.self();
    status.isLeaving = m_isUnready;
    status.configuration = m_configuration;
    status.configurationStatus = m_configurationDriver->status();
    status.members = m_membership.allMembers();
    return makeAnswer(OK, "application/json", makeStatusDocument(status));
}

} // namespace ivyspar
