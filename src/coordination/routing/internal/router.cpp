#include "coordination/routing/internal/router.h"

#include <algorithm>
#include <set>
#include <utility>

#include <xxhash.h>

namespace ivyspar {

namespace {
/// Weight of one answer in the latency of a service.
constexpr double LATENCY_WEIGHT = 0.02;
} // namespace

std::unique_ptr<IRouter> makeRouter(const RouterOptions &options)
{
    return std::make_unique<Router>(options);
}

Router::Router(const RouterOptions &options)
    : m_options(options)
    , m_balancedOptions(options)
{
    m_balancedOptions.spillUtilization = options.balancedSpillUtilization;
}

void Router::setMembers(TimePoint now, const std::vector<Member> &members)
{
    m_daemonCount = members.size();
    m_ownDomainDaemonCount = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [this](const Member &member) { return member.domain == m_options.domain; }));
    std::set<std::pair<ServiceName, DaemonId>> present;
    std::set<ServiceName> known;
    for (const auto &[name, service] : m_services) {
        known.insert(name);
    }
    for (const Member &member : members) {
        for (const UpstreamInfo &upstream : member.upstreams) {
            present.insert({ upstream.service, member.id });
            addServer(now, member, upstream, known.count(upstream.service) == 0);
        }
    }
    for (auto service = m_services.begin(); service != m_services.end();) {
        auto &servers = service->second.servers;
        for (auto i = servers.begin(); i != servers.end();) {
            i = present.count({ service->first, i->first }) > 0 ? std::next(i) : servers.erase(i);
        }
        indexServers(service->second);
        service = servers.empty() ? m_services.erase(service) : std::next(service);
    }
}

void Router::addServer(TimePoint now, const Member &member, const UpstreamInfo &upstream,
                       bool isServiceNew)
{
    auto &servers = m_services[upstream.service].servers;
    const auto found = servers.find(member.id);
    if (found != servers.end() && !found->second.update(now, member, upstream)) {
        return;
    }
    // Servers found together with their service existed before this entry learned of them.
    const Duration warmupTime = isServiceNew ? Duration::zero() : m_options.slowStartTime;
    servers.insert_or_assign(member.id, Server(now, member, upstream, warmupTime));
}

void Router::indexServers(Service &service) const
{
    service.ownDomain.clear();
    service.otherDomains.clear();
    service.byDomain.clear();
    for (auto &[daemon, server] : service.servers) {
        const bool isOwn = !m_options.prefersOwnDomain || server.domain() == m_options.domain;
        (isOwn ? service.ownDomain : service.otherDomains).push_back(&server);
        service.byDomain[server.domain()].push_back(&server);
    }
}

void Router::setShares(const SharesByService &shares)
{
    for (auto &[name, service] : m_services) {
        const auto found = shares.find(name);
        if (found == shares.end() || !m_options.prefersOwnDomain) {
            service.credits.clear();
            continue;
        }
        service.credits.setShares(found->second);
    }
}

const RouterOptions &Router::optionsOf(const Service &service) const
{
    return service.credits.isActive() ? m_balancedOptions : m_options;
}

Server *Router::find(const ServiceName &service, const DaemonId &daemon)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return nullptr;
    }
    const auto server = found->second.servers.find(daemon);
    return server == found->second.servers.end() ? nullptr : &server->second;
}

RouteChoice Router::choose(TimePoint now, const RouteRequest &request, IRandom &random)
{
    RouteChoice choice;
    const auto found = m_services.find(request.service);
    if (found == m_services.end()) {
        choice.reason = Reason::NoServer;
        return choice;
    }
    const Query query{ now, request, found->second, random };
    if (request.excluded.empty() && request.fingerprint.value().empty()
        && found->second.credits.isActive()) {
        pickByShare(query, found->second.credits.next(random), choice);
    }
    if (choice.daemon.value().empty()) {
        pickLimited(query, choice);
    }
    if (choice.daemon.value().empty()) {
        pickServer(query, &Router::isUsable, choice);
    }
    if (choice.daemon.value().empty()) {
        // Ejected servers are better than none: otherwise a fault seen on all of them would stop
        // the service until an ejection ends.
        pickServer(query, &Router::isReachable, choice);
    }
    if (choice.daemon.value().empty() && request.excluded.empty()) {
        // No server was reachable a moment ago: a new call probes one. A call refused elsewhere is
        // not used as a probe, and its caller is told at once.
        pickServer(query, &Router::isEligible, choice);
    }
    return choice.daemon.value().empty() ? refusal(query) : choice;
}

void Router::pickLimited(const Query &query, RouteChoice &choice) const
{
    const auto &servers = query.service.ownDomain;
    const bool isAnyLimited = std::any_of(servers.begin(), servers.end(), [](const Server *each) {
        return each->rateShare().isLimited();
    });
    if (!isAnyLimited || !query.request.fingerprint.value().empty()) {
        return;
    }
    const Server *server = nextServer(query, servers, &Router::hasUnusedShare, nullptr);
    if (server != nullptr && !server->isSaturated(query.now, query.service.latencyUs, m_options)) {
        choice.daemon = server->daemon();
        choice.why = "limited";
    }
}

void Router::pickByShare(const Query &query, const DomainName &domain, RouteChoice &choice) const
{
    const auto servers = query.service.byDomain.find(domain);
    if (domain == m_options.domain || servers == query.service.byDomain.end()) {
        return;
    }
    const Server *server = pickBetter(query, servers->second, &Router::isUsable, choice);
    if (server == nullptr
        || server->isSaturated(query.now, query.service.latencyUs, m_balancedOptions)) {
        choice.candidates.clear();
        return;
    }
    choice.daemon = server->daemon();
    choice.why = "balance";
    choice.inputs = query.service.credits.inputs(query.now, domain);
}

void Router::pickSuspectServer(const Query &query, Filter filter, RouteChoice &choice) const
{
    const std::string &fingerprint = query.request.fingerprint.value();
    std::uint64_t highest = 0;
    for (const auto &[daemon, server] : query.service.servers) {
        const std::string text = fingerprint + daemon.value();
        const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
        if (hash >= highest && (this->*filter)(query, server)) {
            highest = hash;
            choice.daemon = daemon;
            choice.why = "suspect";
        }
    }
}

void Router::pickServer(const Query &query, Filter filter, RouteChoice &choice) const
{
    if (!query.request.fingerprint.value().empty()) {
        pickSuspectServer(query, filter, choice);
        return;
    }
    const double serviceLatencyUs = query.service.latencyUs;
    const Server *ownServer = pickBetter(query, query.service.ownDomain, filter, choice);
    if (ownServer != nullptr
        && !ownServer->isSaturated(query.now, serviceLatencyUs, optionsOf(query.service))) {
        choice.daemon = ownServer->daemon();
        choice.why = choice.candidates.size() > 1 ? "less-loaded" : "only-one";
        return;
    }
    if (query.service.credits.isActive()) {
        const Server *server =
            nextServer(query, query.service.ownDomain, &Router::isUnsaturated, nullptr);
        if (server != nullptr) {
            choice.daemon = server->daemon();
            choice.why = "not-full";
            return;
        }
    }
    const Server *otherServer = pickBetter(query, query.service.otherDomains, filter, choice);
    if (ownServer == nullptr && otherServer == nullptr) {
        return;
    }
    const bool isSpillover = ownServer == nullptr
        || (otherServer != nullptr
            && otherServer->score(query.now, serviceLatencyUs, m_options)
                < m_options.spillScoreRatio
                    * ownServer->score(query.now, serviceLatencyUs, m_options));
    choice.daemon = isSpillover ? otherServer->daemon() : ownServer->daemon();
    choice.why = isSpillover ? "spill" : "least-bad";
}

const Server *Router::pickBetter(const Query &query, const std::vector<Server *> &servers,
                                 Filter filter, RouteChoice &choice) const
{
    const double serviceLatencyUs = query.service.latencyUs;
    const Server *first = nextServer(query, servers, filter, nullptr);
    if (first == nullptr) {
        return nullptr;
    }
    const double firstScore = first->score(query.now, serviceLatencyUs, m_options);
    choice.candidates.push_back({ first->daemon(), firstScore });
    const Server *second =
        m_options.usesTwoChoices ? nextServer(query, servers, filter, first) : nullptr;
    if (second == nullptr) {
        return first;
    }
    const double secondScore = second->score(query.now, serviceLatencyUs, m_options);
    choice.candidates.push_back({ second->daemon(), secondScore });
    return secondScore < firstScore ? second : first;
}

const Server *Router::nextServer(const Query &query, const std::vector<Server *> &servers,
                                 Filter filter, const Server *other) const
{
    if (servers.empty()) {
        return nullptr;
    }
    const std::size_t start = query.random.below(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const Server *server = servers[(start + i) % servers.size()];
        if (server != other && (this->*filter)(query, *server)) {
            return server;
        }
    }
    return nullptr;
}

bool Router::isExcluded(const Query &query, const Server &server) const
{
    const auto &excluded = query.request.excluded;
    return std::find(excluded.begin(), excluded.end(), server.daemon()) != excluded.end();
}

bool Router::hasUnusedShare(const Query &query, const Server &server) const
{
    return server.rateShare().isLimited() && server.rateShare().hasToken(query.now)
        && isUsable(query, server);
}

bool Router::isUsable(const Query &query, const Server &server) const
{
    const RateShare &share = server.rateShare();
    return (share.hasToken(query.now) || share.isStale(query.now)) && isReachable(query, server)
        && !server.isEjected(query.now) && server.hasProbationCapacity();
}

bool Router::isUnsaturated(const Query &query, const Server &server) const
{
    return isUsable(query, server)
        && !server.isSaturated(query.now, query.service.latencyUs, optionsOf(query.service));
}

bool Router::isReachable(const Query &query, const Server &server) const
{
    return isEligible(query, server) && !server.isUnreachable(query.now)
        && server.hasProbeCapacity();
}

bool Router::isEligible(const Query &query, const Server &server) const
{
    return !server.isDraining() && !isExcluded(query, server)
        && server.floor(query.now, m_options) <= query.request.rank;
}

RouteChoice Router::refusal(const Query &query) const
{
    RouteChoice choice;
    choice.reason = Reason::NoServer;
    for (const auto &[daemon, server] : query.service.servers) {
        if (server.isDraining()) {
            choice.reason = Reason::Draining;
        }
        if (!server.isDraining() && server.floor(query.now, m_options) > query.request.rank) {
            choice.reason = Reason::BelowFloor;
            break;
        }
    }
    const double spread = 1 + query.random.unit();
    choice.retryAfter = std::chrono::duration_cast<Duration>(m_options.retryAfter * spread);
    return choice;
}

void Router::onSent(TimePoint now, const ServiceName &service, const DaemonId &daemon)
{
    if (Server *server = find(service, daemon)) {
        server->onSent(now);
    }
}

void Router::onEnd(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                   RouteFeedback feedback, Duration latency, SpeedShare speed)
{
    Server *server = find(service, daemon);
    if (server == nullptr) {
        return;
    }
    const auto usualLatency = std::chrono::duration_cast<Duration>(latency * toRatio(speed));
    server->onEnd(now, feedback, usualLatency, m_options);
    Service &serviceState = m_services.at(service);
    if (feedback == RouteFeedback::Answered) {
        const auto timeUs = static_cast<double>(usualLatency.count());
        const double meanUs = serviceState.latencyUs;
        serviceState.latencyUs = meanUs <= 0 ? timeUs : meanUs + LATENCY_WEIGHT * (timeUs - meanUs);
    }
    if (m_options.hasErrorPenalty && server->hasTooManyErrors(m_options)
        && mayEject(now, serviceState, *server)) {
        server->eject(now, m_options);
    }
}

bool Router::mayEject(TimePoint now, const Service &service, const Server &candidate) const
{
    std::size_t ejected = 1;
    double errorShares = 0;
    for (const auto &[daemon, server] : service.servers) {
        ejected += server.isEjected(now) ? 1 : 0;
        errorShares += &server == &candidate ? 0 : server.errorShare(now, m_options);
    }
    const auto servers = static_cast<double>(service.servers.size());
    if (static_cast<double>(ejected) > m_options.maxEjectedShare * servers) {
        return false;
    }
    // If a service below refuses calls, all servers here answer with errors. Ejecting half of them
    // would spread the overload of that service to this one.
    const double others = errorShares / (servers - 1);
    return candidate.errorShare(now, m_options) > m_options.ejectErrorRatio * others;
}

void Router::onLoad(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                    const LoadReport &load)
{
    if (Server *server = find(service, daemon)) {
        server->onLoad(now, load);
    }
}

void Router::onNotice(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                      const UpstreamNotice &notice)
{
    if (Server *server = find(service, daemon)) {
        // A server is used by the entries of its failure domain first.
        const bool isOwn = m_options.prefersOwnDomain && server->domain() == m_options.domain;
        server->onNotice(now, notice, isOwn ? m_ownDomainDaemonCount : m_daemonCount);
    }
}

Rank Router::floor(TimePoint now, const ServiceName &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return Rank();
    }
    // A call that one of the servers would accept must not be refused: the lowest floor counts.
    bool isAny = false;
    Rank lowest;
    for (const auto &[daemon, server] : found->second.servers) {
        if (server.isDraining() || server.isEjected(now)) {
            continue;
        }
        const Rank floor = server.floor(now, m_options);
        lowest = isAny ? std::min(lowest, floor) : floor;
        isAny = true;
    }
    return lowest;
}

} // namespace ivyspar
