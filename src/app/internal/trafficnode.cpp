#include "app/internal/trafficnode.h"

#include <utility>

#include "app/internal/control/logaccess.h"
#include "app/internal/gate/noonceservice.h"
#include "app/internal/settings/policies.h"
#include "coordination/once/oncefactory.h"
#include "protocol/internal/peercodec.h"
#include "state/randomfactory.h"
#include "transport/transportfactory.h"

namespace ivyspar {

namespace {

constexpr Duration DRAIN_POLL_INTERVAL = std::chrono::milliseconds(5);
/// Part of the drain time that is reserved for closing connections.
constexpr Duration CLOSING_TIME = std::chrono::milliseconds(200);

/// The rest of the memory is for everything else, and for copies that are made in passing.
constexpr std::size_t BODY_MEMORY_DIVISOR = 2;

HttpClientLimits makeClientLimits(const DaemonSettings &settings, const IUpstreamDialect &dialect,
                                  const BodyBudgetPtr &bodies)
{
    HttpClientLimits limits;
    limits.echoHeader = dialect.echoHeader();
    // If the server echoes the request id in each response, a response without framing can be told
    // apart from the remains of another request's response.
    limits.acceptsUnframedResponses = !limits.echoHeader.empty();
    limits.reusesAfterUnavailable = !limits.echoHeader.empty();
    limits.bodyBytes = settings.limits.bodyBytes;
    limits.bodyBudget = bodies;
    return limits;
}

bool mindsLag(const DaemonSettings &settings)
{
    return settings.hasRootAdmission && !settings.ablations.lag;
}

GateServiceOptions makeGateServiceOptions(const DaemonSettings &settings)
{
    GateServiceOptions options;
    options.heartbeatTimeout = settings.heartbeatTimeout;
    options.cancelUpstream = !settings.ablations.cancel;
    options.retryBudget = makeLocalRetryBudgetOptions(settings);
    options.compensatesLoopLag = mindsLag(settings);
    return options;
}

EntryOptions makeEntryOptions(const DaemonSettings &settings)
{
    EntryOptions options;
    options.maxRequests = settings.limits.inFlight;
    options.hasSharedBudget = !settings.ablations.budget;
    options.hasRootAdmission = settings.hasRootAdmission;
    options.infersParents = settings.infersParents;
    options.admission = makeRootAdmissionOptions(settings);
    options.compensatesLoopLag = mindsLag(settings);
    return options;
}

QuarantineOptions makeQuarantineOptions(const DaemonSettings &settings)
{
    QuarantineOptions options;
    options.isOn = !settings.ablations.quarantine;
    return options;
}

AccountServiceOptions makeAccountOptions(const DaemonSettings &settings)
{
    AccountServiceOptions options;
    options.limits.hasHomes = !settings.ablations.limitHomes;
    options.limits.tolerance = settings.limitTolerance;
    options.maxConfirmationAge = settings.applyWithin;
    return options;
}

TicketSecret makeSecret(IRandom &random)
{
    TicketSecret secret{};
    for (std::uint8_t &byte : secret) {
        byte = static_cast<std::uint8_t>(random.next());
    }
    return secret;
}

std::unique_ptr<OnceService> makeOnceService(IEventLoop &loop, ILogService &log,
                                             Observers observers, const DaemonIdentity &self,
                                             IRandom &random)
{
    const TimePoint now = loop.now();
    return std::make_unique<OnceService>(
        loop, log, observers, makeOnceCoordinator(now, self.id, self.incarnation, random.next()),
        makeTicketRegistry(now, self.id, self.incarnation, makeSecret(random)));
}

} // namespace

TrafficNode::TrafficNode(IEventLoop &loop, const DaemonSettings &settings,
                         const IPlatform &platform, const DaemonIdentity &self,
                         TrafficEvents events, const ConfirmationTime &confirmation,
                         Observers observers)
    : m_loop(loop)
    , m_settings(settings)
    , m_self(self.id)
    , m_events(std::move(events))
    , m_requestDialect(platform.makeRequestDialect())
    , m_upstreamDialect(platform.makeUpstreamDialect())
    , m_reportDialect(platform.makeReportDialect())
    , m_random(makeRandom())
    , m_codec(std::make_unique<PeerCodec>())
    , m_bodies(makeBodyBudget(settings.limits.memoryBytes / BODY_MEMORY_DIVISOR))
    , m_client(makeHttpClient(loop, makeClientLimits(settings, *m_upstreamDialect, m_bodies)))
    , m_network(makePeerNetwork(loop))
    , m_router(makeRouter(makeRouterOptions(settings)))
    , m_retries(makeRetryPolicy(makeRetryOptions(settings)))
{
    const auto makeLocalGate = [settings](const UpstreamInfo &info) {
        GateOptions options = makeGateOptions(settings);
        options.slots = info.slots;
        options.connections = info.connections;
        return makeGate(options);
    };
    if (settings.streams.configuration.value().empty()) {
        m_logClient = makeLogClient(loop);
        m_log = makeLog(settings, *m_logClient);
        auto once = makeOnceService(loop, *m_log, observers, self, *m_random);
        m_tickets = std::make_unique<TicketEndpoint>(*once);
        m_once = std::move(once);
    } else {
        m_once = std::make_unique<NoOnceService>();
    }
    m_quarantine = std::make_unique<QuarantineService>(
        loop, *m_random, observers, m_events.onOutgoingPayload, makeQuarantineOptions(settings));
    m_quarantine->setOnUnsaved(m_events.onUnsavedSuspects);
    m_accounts =
        std::make_unique<AccountService>(loop, *m_random, confirmation, observers,
                                         m_events.onOutgoingPayload, makeAccountOptions(settings));
    m_gates = std::make_unique<GateService>(loop, *m_client, *m_random, *m_once, *m_quarantine,
                                            *m_upstreamDialect, makeLocalGate, observers,
                                            makeGateServiceOptions(settings));
    BalanceServiceOptions balance;
    balance.isEnabled = settings.balancesDomains;
    balance.balance = makeDomainBalanceOptions(settings);
    m_balance = std::make_unique<BalanceService>(
        loop, *m_random, *m_router, observers, m_events.onOutgoingPayload,
        [this] { return m_gates->statuses(); }, balance);
    m_upstreamMonitor =
        std::make_unique<UpstreamMonitor>(loop, *m_client, *m_upstreamDialect, *m_gates, observers);
    m_once->setListener(m_gates.get());
    m_gates->setOnUpstreams(m_events.onUpstreams);
    makePeers(self, observers);
    m_callerServer = makeHttpServer(loop);
    m_upstreamServer = makeHttpServer(loop);
}

void TrafficNode::makePeers(const DaemonIdentity &self, Observers observers)
{
    m_peerCalls = std::make_unique<PeerCalls>(m_loop, *m_network, *m_codec, *m_gates, *m_bodies,
                                              observers, self);
    m_peerCalls->setOnControl(m_events.onControlMessage);
    m_peerCalls->setOnUnreachable(m_events.onUnreachable);
    m_entry = std::make_unique<EntryService>(
        m_loop, *m_requestDialect, EntryPolicies{ *m_router, *m_retries, *m_random }, *m_peerCalls,
        *m_gates, *m_quarantine, *m_accounts, observers, makeEntryOptions(m_settings));
    m_entry->setHostService(m_settings.hostService);
    if (m_settings.balancesDomains) {
        m_entry->setCallDemand(m_balance.get());
    }
}

TrafficNode::~TrafficNode() = default;

HttpLimits TrafficNode::makeLimits() const
{
    HttpLimits limits;
    limits.connections = m_settings.limits.connections;
    limits.headerBytes = m_settings.limits.headerBytes;
    limits.bodyBytes = m_settings.limits.bodyBytes;
    limits.bodyBudget = m_bodies;
    return limits;
}

/// Limits in the configuration take precedence over this daemon's settings.
HttpLimits TrafficNode::makeCallerLimits(const CallerLimits &limits) const
{
    HttpLimits bounds = makeLimits();
    bounds.pipelinedRequests = m_settings.limits.pipelinedRequests;
    if (limits.headerBytes > 0) {
        bounds.headerBytes = limits.headerBytes;
    }
    if (limits.bodyBytes > 0) {
        bounds.bodyBytes = limits.bodyBytes;
    }
    if (limits.idleTimeout > Duration::zero()) {
        bounds.idleTimeout = limits.idleTimeout;
    }
    return bounds;
}

RetVal<ListeningEndpoints> TrafficNode::listen()
{
    ListeningEndpoints bound;
    PeerLimits peerLimits;
    peerLimits.connectTimeout = m_settings.peerConnectTimeout;
    peerLimits.heartbeatInterval = m_settings.peerHeartbeat;
    const auto peer = m_network->listen(m_settings.peerListen, peerLimits);
    if (!peer) {
        return tl::unexpected<Error>(peer.error());
    }
    bound.peer = *peer;
    const auto upstream = m_upstreamServer->listen(
        m_settings.upstreamListen, makeLimits(),
        [this](IHttpExchange &exchange) { return handleUpstream(exchange); });
    if (!upstream) {
        return tl::unexpected<Error>(upstream.error());
    }
    bound.upstream = *upstream;
    const auto caller =
        m_callerServer->listen(m_settings.callerListen, makeCallerLimits({}),
                               [this](IHttpExchange &exchange) { return handleCaller(exchange); });
    if (!caller) {
        return tl::unexpected<Error>(caller.error());
    }
    m_callerServer->setConcurrencyTest(
        [this](const HttpRequest &request) { return m_entry->isIdempotent(request); });
    bound.caller = *caller;
    return bound;
}

void TrafficNode::setMembers(const std::vector<Member> &members)
{
    m_router->setMembers(m_loop.now(), members);
    m_peerCalls->setMembers(members);
    m_retries->setDaemonCount(members.size());
    m_entry->setMembers(members);
    m_once->setMembers(members);
    m_quarantine->setMembers(m_self, members);
    m_accounts->setMembers(m_self, members);
    m_balance->setMembers(m_self, members);
}

void TrafficNode::setConfiguration(const ConfigurationPtr &configuration)
{
    m_accounts->setConfiguration(configuration);
    m_entry->setConfiguration(configuration);
    m_upstreamMonitor->setConfiguration(configuration);
    m_callerServer->setLimits(makeCallerLimits(configuration->limits));
}

void TrafficNode::sendControl(const DaemonId &target, const Endpoint &endpoint, std::string payload)
{
    m_peerCalls->sendControl(target, endpoint, std::move(payload));
}

void TrafficNode::receiveSuspects(const DaemonId &from, const std::string &payload)
{
    m_quarantine->receive(from, payload);
}

void TrafficNode::receiveAccounts(const DaemonId &from, const std::string &payload)
{
    m_accounts->receive(from, payload);
}

void TrafficNode::receiveBalance(const DaemonId &from, const std::string &payload)
{
    m_balance->receive(from, payload);
}

bool TrafficNode::liftQuarantine(const Fingerprint &fingerprint)
{
    return m_quarantine->lift(fingerprint);
}

TrafficStatus TrafficNode::status() const
{
    TrafficStatus status;
    status.gates = m_gates->statuses();
    status.requests = m_entry->requestCount();
    status.calls = m_gates->callCount();
    status.links = m_network->linkCount();
    status.callerConnections = m_callerServer->connectionCount();
    status.pipelines = m_callerServer->pipelineStats();
    status.requestBodies = m_bodies->usage(MessageKind::Request);
    status.responseBodies = m_bodies->usage(MessageKind::Response);
    status.suspects = m_quarantine->status();
    status.accounts = m_accounts->statuses();
    status.balance = m_balance->overview();
    status.accountShares = m_entry->accountShares();
    status.activeAccounts = m_entry->activeAccounts();
    return status;
}

void TrafficNode::startLeaving(TimePoint end)
{
    m_gates->startLeaving(end);
    m_callerServer->disableKeepAlive();
}

void TrafficNode::refuseCallers(TimePoint end)
{
    m_entry->startDraining(end - CLOSING_TIME);
}

void TrafficNode::waitForCallers(TimePoint end)
{
    while (m_entry->callerCount() > 0 && m_loop.now() < end) {
        m_loop.sleepFor(DRAIN_POLL_INTERVAL);
    }
}

bool TrafficNode::drainCalls(TimePoint end)
{
    m_gates->startDraining();
    // Calls that other daemons sent here continue and may make calls of their own through this
    // daemon, so the listeners stay open for now.
    const TimePoint last = end - CLOSING_TIME;
    while (m_gates->callCount() + m_entry->requestCount() > 0 && m_loop.now() < last) {
        m_loop.sleepFor(DRAIN_POLL_INTERVAL);
    }
    const bool isDone = m_gates->callCount() + m_entry->requestCount() == 0;
    m_entry->endRequests();
    m_callerServer->drain(timeUntil(end));
    m_upstreamServer->drain(timeUntil(end));
    return isDone;
}

/// At least `DRAIN_POLL_INTERVAL`, so that data that is ready is still sent.
Duration TrafficNode::timeUntil(TimePoint end) const
{
    return std::max(std::chrono::duration_cast<Duration>(end - m_loop.now()), DRAIN_POLL_INTERVAL);
}

void TrafficNode::closeLinks(Duration timeout)
{
    m_network->shutdown(timeout);
}

HttpResponse TrafficNode::handleCaller(IHttpExchange &exchange)
{
    if (isTicketRequest(exchange.request())) {
        return m_tickets->handle(exchange.request());
    }
    return m_entry->handleCaller(exchange);
}

bool TrafficNode::isTicketRequest(const HttpRequest &request) const
{
    return m_tickets && TicketEndpoint::isAtEndpoint(request) && !m_entry->hasRule(request);
}

HttpResponse TrafficNode::handleUpstream(IHttpExchange &exchange)
{
    if (m_reportDialect->isReport(exchange.request())) {
        return handleReport(exchange.request());
    }
    return m_entry->handleUpstream(exchange);
}

HttpResponse TrafficNode::handleReport(const HttpRequest &request)
{
    const RetVal<UpstreamReport> report = m_reportDialect->read(request);
    if (!report) {
        return m_reportDialect->acknowledge(tl::unexpected<Error>(report.error()));
    }
    m_upstreamMonitor->onReport(*report);
    return m_reportDialect->acknowledge({});
}

} // namespace ivyspar
