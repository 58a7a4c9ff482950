#pragma once

#include <cstdint>

#include "coordination/routing/irouter.h"
#include "coordination/routing/routerfactory.h"

namespace ivyspar {

/// What an entry knows of one server: its reports, and what its own calls there went through.
class Server
{
public:
    /// `warmupTime` holds if the server does not say for how long it is cold.
    Server(TimePoint now, const Member &member, const UpstreamInfo &upstream, Duration warmupTime);

    /// A newer record of the same server. True if the daemon restarted.
    bool update(TimePoint now, const Member &member, const UpstreamInfo &upstream);

    const DaemonId &daemon() const { return m_daemon; }
    const DomainName &domain() const { return m_domain; }
    std::uint32_t outstanding() const { return m_outstanding; }
    bool isDraining() const { return m_isLeaving || m_isDraining; }
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    /// Was ejected and has not answered since.
    bool isOnProbation() const { return m_ejections > 0; }
    bool hasProbationCapacity() const { return !isOnProbation() || m_outstanding == 0; }
    /// A link to it could not be opened, or was lost, a moment ago.
    bool isUnreachable(TimePoint now) const { return now < m_unreachableUntil; }
    /// Where it could not be reached before, one call at a time finds out whether it can be again.
    bool hasProbeCapacity() const { return m_consecutiveUnreachable == 0 || m_outstanding == 0; }
    bool hasTooManyErrors(const RouterOptions &options) const;

    void onSent() { ++m_outstanding; }
    void onEnd(TimePoint now, RouteFeedback feedback, Duration latency,
               const RouterOptions &options);
    void onLoad(TimePoint now, const LoadReport &load);
    void eject(TimePoint now, const RouterOptions &options);

    /// Calls there, over what it can take; 1 is full.
    double utilization(TimePoint now, const RouterOptions &options) const;
    /// Latency over that of the whole service, `typical` in µs; 1 if unknown.
    double latencyRatio(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const;
    /// Recent share of errors.
    double errorShare(TimePoint now, const RouterOptions &options) const;
    /// What a further call there costs, lower is better.
    double score(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const;
    bool isSaturated(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const;
    /// The last reported floor, lowered with its age.
    Rank floor(TimePoint now, const RouterOptions &options) const;

private:
    void updateReachability(TimePoint now, RouteFeedback feedback, const RouterOptions &options);
    double capacity(TimePoint now, const RouterOptions &options) const;
    double reportWeight(TimePoint now, const RouterOptions &options) const;
    double freshness(TimePoint now, const RouterOptions &options) const;

    DaemonId m_daemon;
    DomainName m_domain;
    Incarnation m_incarnation;
    std::uint64_t m_counter = 0;
    std::uint32_t m_slots = 0;
    /// As its member record says.
    bool m_isLeaving = false;
    /// As its answers say.
    bool m_isDraining = false;
    /// It is cold from then on for that time; and whether it said so itself.
    TimePoint m_warmupStart;
    Duration m_warmupTime;
    bool m_reportsCold = false;

    std::uint32_t m_outstanding = 0;
    bool m_hasReport = false;
    LoadReport m_report;
    TimePoint m_reportedAt;
    /// Own calls that the report includes.
    std::uint32_t m_outstandingAtReport = 0;

    /// Mean latency of answers, in µs; 0 while unknown.
    double m_latencyUs = 0;
    double m_errorShare = 0;
    TimePoint m_lastEndAt;
    std::uint32_t m_errorPoints = 0;
    std::uint32_t m_ejections = 0;
    TimePoint m_ejectedUntil;
    /// Calls in a row for which it could not be reached.
    std::uint32_t m_consecutiveUnreachable = 0;
    TimePoint m_unreachableUntil;
};

} // namespace ivyspar
