#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "coordination/routing/internal/server.h"
#include "coordination/routing/internal/sharecredits.h"
#include "coordination/routing/irouter.h"
#include "coordination/routing/routerfactory.h"

namespace ivyspar {

class Router : public IRouter
{
public:
    explicit Router(const RouterOptions &options);

    void setMembers(TimePoint now, const std::vector<Member> &members) override;
    void setShares(const SharesByService &shares) override;
    RouteChoice choose(TimePoint now, const RouteRequest &request, IRandom &random) override;
    void onSent(TimePoint now, const ServiceName &service, const DaemonId &daemon) override;
    void onEnd(TimePoint now, const ServiceName &service, const DaemonId &daemon,
               RouteFeedback feedback, Duration latency, SpeedShare speed) override;
    void onLoad(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                const LoadReport &load) override;
    void onNotice(TimePoint now, const ServiceName &service, const DaemonId &daemon,
                  const UpstreamNotice &notice) override;
    Rank floor(TimePoint now, const ServiceName &service) const override;

private:
    struct Service
    {
        std::unordered_map<DaemonId, Server> servers;
        /// Pointers into `servers`, by failure domain.
        std::vector<Server *> ownDomain;
        std::vector<Server *> otherDomains;
        std::unordered_map<DomainName, std::vector<Server *>> byDomain;
        ShareCredits credits;
        /// Mean latency of all answers at the usual speed of their servers, in µs.
        double latencyUs = 0;
    };
    /// Arguments of one choice.
    struct Query
    {
        TimePoint now;
        const RouteRequest &request;
        const Service &service;
        IRandom &random;
    };
    using Filter = bool (Router::*)(const Query &, const Server &) const;

    void addServer(TimePoint now, const Member &member, const UpstreamInfo &upstream,
                   bool isServiceNew);
    void indexServers(Service &service) const;
    Server *find(const ServiceName &service, const DaemonId &daemon);
    /// Whether the server fails much more than the others, and enough others remain.
    bool mayEject(TimePoint now, const Service &service, const Server &candidate) const;

    bool isExcluded(const Query &query, const Server &server) const;
    /// Usable, limited, and with a token of this entry's share for it.
    bool hasUnusedShare(const Query &query, const Server &server) const;
    /// Within this entry's share of its rate limit, reachable, not ejected, and not busy with a
    /// call on probation.
    bool isUsable(const Query &query, const Server &server) const;
    /// Usable, and no reason for calls to spill over.
    bool isUnsaturated(const Query &query, const Server &server) const;
    /// Eligible, and reached by the latest call or due for a probe.
    bool isReachable(const Query &query, const Server &server) const;
    /// Not draining, not excluded, and its floor admits the request.
    bool isEligible(const Query &query, const Server &server) const;
    /// Returns the first server, from a random position on, that passes the filter and is not
    /// `other`; nullptr if there is none.
    const Server *nextServer(const Query &query, const std::vector<Server *> &servers,
                             Filter filter, const Server *other) const;
    /// Returns the better of two random servers that pass the filter; nullptr if none does.
    const Server *pickBetter(const Query &query, const std::vector<Server *> &servers,
                             Filter filter, RouteChoice &choice) const;
    /// Picks a limited server of the own failure domain whose limit is not used up, as the demand
    /// beyond the limits can go to the others, but not the other way round.
    void pickLimited(const Query &query, RouteChoice &choice) const;
    /// Picks the server by the request's fingerprint.
    void pickSuspectServer(const Query &query, Filter filter, RouteChoice &choice) const;
    /// Picks a server of the failure domain to which the shares assign the call; none if that is
    /// the own domain, or if its servers are saturated.
    void pickByShare(const Query &query, const DomainName &domain, RouteChoice &choice) const;
    void pickServer(const Query &query, Filter filter, RouteChoice &choice) const;
    RouteChoice refusal(const Query &query) const;

    /// The options for choices of the service, which depend on whether its calls are divided.
    const RouterOptions &optionsOf(const Service &service) const;

    RouterOptions m_options;
    RouterOptions m_balancedOptions;
    std::unordered_map<ServiceName, Service> m_services;
    std::size_t m_daemonCount = 1;
    std::size_t m_ownDomainDaemonCount = 1;
};

} // namespace ivyspar
