#pragma once

#include <cstdint>

#include "coordination/routing/internal/rateshare.h"
#include "coordination/routing/irouter.h"
#include "coordination/routing/routerfactory.h"

namespace ivyspar {

/// State of one server as known to an entry: its load reports, and how the entry's own calls ended.
class Server
{
public:
    /// `warmupTime` applies if the server does not report how long it is cold.
    Server(TimePoint now, const Member &member, const UpstreamInfo &upstream, Duration warmupTime);

    /// Applies a newer member record. Returns true if the daemon restarted.
    bool update(TimePoint now, const Member &member, const UpstreamInfo &upstream);

    const DaemonId &daemon() const { return m_daemon; }
    const DomainName &domain() const { return m_domain; }
    std::uint32_t outstanding() const { return m_outstanding; }
    bool isDraining() const { return m_isLeaving || m_isDraining; }
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    /// Whether it was ejected and has not answered since.
    bool isOnProbation() const { return m_ejections > 0; }
    /// On probation it gets one call at a time.
    bool hasProbationCapacity() const { return !isOnProbation() || m_outstanding == 0; }
    /// Whether a link to it recently could not be opened, or was lost.
    bool isUnreachable(TimePoint now) const { return now < m_unreachableUntil; }
    /// A server that was unreachable is probed by one call at a time.
    bool hasProbeCapacity() const { return m_consecutiveUnreachable == 0 || m_outstanding == 0; }
    /// Whether its consecutive errors justify an ejection.
    bool hasTooManyErrors(const RouterOptions &options) const;

    const RateShare &rateShare() const { return m_rateShare; }

    void onSent(TimePoint now);
    /// `usualLatency`: the latency that the call would have had at the usual speed of the server.
    void onEnd(TimePoint now, RouteFeedback feedback, Duration usualLatency,
               const RouterOptions &options);
    void onLoad(TimePoint now, const LoadReport &load);
    /// Applies what the server states. `entries`: number of entry daemons that share its limit.
    void onNotice(TimePoint now, const UpstreamNotice &notice, std::size_t entries);
    void eject(TimePoint now, const RouterOptions &options);

    /// Calls at the server divided by its capacity; 1 is full.
    double utilization(TimePoint now, const RouterOptions &options) const;
    /// Expected latency divided by that of the whole service; 1 if unknown.
    double latencyRatio(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const;
    /// Recent share of errors, 0 to 1.
    double errorShare(TimePoint now, const RouterOptions &options) const;
    /// Estimated cost of a further call; lower is better.
    double score(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const;
    /// Whether calls may spill over to another failure domain.
    bool isSaturated(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const;
    /// The last reported floor, lowered with its age.
    Rank floor(TimePoint now, const RouterOptions &options) const;

private:
    void updateReachability(TimePoint now, RouteFeedback feedback, const RouterOptions &options);
    /// Calls that it works on at a time, in terms of its usual speed.
    double capacity(TimePoint now, const RouterOptions &options) const;
    /// Present speed relative to the usual one, by its latest report.
    double speed(TimePoint now, const RouterOptions &options) const;
    double reportWeight(TimePoint now, const RouterOptions &options) const;
    double freshness(TimePoint now, const RouterOptions &options) const;

    DaemonId m_daemon;
    DomainName m_domain;
    Incarnation m_incarnation;
    std::uint64_t m_counter = 0;
    std::uint32_t m_slots = 0;
    /// According to its member record.
    bool m_isLeaving = false;
    /// According to its answers.
    bool m_isDraining = false;
    /// It is cold from this point for this time, and whether it reported so itself.
    TimePoint m_warmupStart;
    Duration m_warmupTime;
    bool m_reportsCold = false;

    RateShare m_rateShare;
    std::uint32_t m_outstanding = 0;
    bool m_hasReport = false;
    LoadReport m_report;
    TimePoint m_reportedAt;
    /// Calls of this entry that the report includes.
    std::uint32_t m_outstandingAtReport = 0;

    /// Mean latency of answers and time-outs at the usual speed; 0 while unknown.
    double m_latencyUs = 0;
    double m_errorShare = 0;
    TimePoint m_lastEndAt;
    /// Errors since the last answer or ejection; an unreachable server counts twice.
    std::uint32_t m_errorPoints = 0;
    std::uint32_t m_ejections = 0;
    TimePoint m_ejectedUntil;
    /// Consecutive calls for which it was unreachable.
    std::uint32_t m_consecutiveUnreachable = 0;
    TimePoint m_unreachableUntil;
};

} // namespace ivyspar
