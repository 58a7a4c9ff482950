#include "coordination/routing/internal/server.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {

constexpr double LATENCY_WEIGHT = 0.1;
constexpr double ERROR_WEIGHT = 0.1;
/// Factor by which a call takes longer on a server with this load than on an idle one. The slots
/// work in parallel, so calls hardly wait until the server is nearly full, and then wait long. With
/// a linear factor a server of half the speed would get half the load of the others, and stay half
/// empty while they are overloaded.
double waitFactor(double load)
{
    constexpr double STEEPNESS = 8;
    constexpr double POWER = 6;
    return 1 + load + STEEPNESS * std::pow(load, POWER);
}

/// Increase of a server's score if all its calls fail.
constexpr double ERROR_PENALTY = 20;
constexpr double MIN_LATENCY_RATIO = 0.5;
constexpr double MAX_LATENCY_RATIO = 20;
/// Upper bound of the estimated utilization, which combines the calls of this entry with the
/// reported ones of others. Not applied if reports alone are used.
constexpr double MAX_UTILIZATION = 4;
constexpr std::uint32_t UNREACHABLE_ERROR_POINTS = 2;

/// Falls from 1 to 0 as `age` goes from 0 to `lifetime`.
double linearDecay(Duration age, Duration lifetime)
{
    return std::clamp(1 - static_cast<double>(age.count()) / static_cast<double>(lifetime.count()),
                      0.0, 1.0);
}

std::uint32_t errorPointsOf(RouteFeedback feedback)
{
    switch (feedback) {
    case RouteFeedback::Unreachable:
        return UNREACHABLE_ERROR_POINTS;
    case RouteFeedback::UpstreamError:
    case RouteFeedback::TimedOut:
        return 1;
    default:
        return 0;
    }
}

/// Contribution of a call to the share of errors. A refusal is not the server's fault, but a server
/// that refuses while its reports show free capacity must not stay attractive.
double errorValueOf(RouteFeedback feedback)
{
    return feedback == RouteFeedback::Refused ? 0.5 : (errorPointsOf(feedback) > 0 ? 1.0 : 0.0);
}

} // namespace

Server::Server(TimePoint now, const Member &member, const UpstreamInfo &upstream,
               Duration warmupTime)
    : m_daemon(member.id)
    , m_incarnation(member.incarnation)
    , m_warmupStart(now)
    , m_warmupTime(warmupTime)
{
    update(now, member, upstream);
}

bool Server::update(TimePoint now, const Member &member, const UpstreamInfo &upstream)
{
    const bool isRestarted = m_incarnation < member.incarnation;
    const bool isNewer = isRestarted || m_counter < member.counter;
    m_incarnation = member.incarnation;
    m_domain = member.domain;
    m_slots = std::max(1U, std::min(upstream.slots, upstream.connections));
    m_isLeaving = member.leaving || upstream.draining;
    // Answers announce draining before the member record does. A newer record cancels that;
    // otherwise a restarted upstream would never be chosen again.
    if (isNewer) {
        m_isDraining = false;
        m_counter = member.counter;
    }
    if (isNewer && upstream.coldLeft) {
        m_warmupStart = now;
        m_warmupTime = *upstream.coldLeft;
        m_reportsCold = true;
    }
    return isRestarted;
}

bool Server::hasTooManyErrors(const RouterOptions &options) const
{
    return m_errorPoints >= (isOnProbation() ? 1 : options.ejectErrorPoints);
}

void Server::onSent(TimePoint now)
{
    ++m_outstanding;
    m_rateShare.onSent(now);
}

void Server::onNotice(TimePoint now, const UpstreamNotice &notice, std::size_t entries)
{
    m_rateShare.setLimit(now, notice.rateLimit, entries);
}

void Server::onEnd(TimePoint now, RouteFeedback feedback, Duration usualLatency,
                   const RouterOptions &options)
{
    if (m_outstanding > 0) {
        --m_outstanding;
    }
    if (feedback == RouteFeedback::Cancelled) {
        return;
    }
    updateReachability(now, feedback, options);
    if (feedback == RouteFeedback::RateLimited) {
        m_rateShare.onRefused();
        return;
    }
    if (feedback == RouteFeedback::Answered) {
        m_rateShare.onAccepted();
    }
    if (feedback == RouteFeedback::Draining) {
        m_isDraining = true;
        return;
    }
    // The longer no call has ended, the more the next one counts. Otherwise one call to a recovered
    // server would restore the latency observed while it was faulty.
    const double latencyWeight = std::max(LATENCY_WEIGHT, 1 - freshness(now, options));
    m_errorShare = errorShare(now, options);
    m_errorShare += ERROR_WEIGHT * (errorValueOf(feedback) - m_errorShare);
    m_errorPoints += errorPointsOf(feedback);
    m_lastEndAt = now;
    if (feedback == RouteFeedback::Answered) {
        m_errorPoints = 0;
        m_ejections = 0;
    }
    // Errors and refusals may be fast: only answers and time-outs show how slow the server is.
    if (feedback == RouteFeedback::Answered || feedback == RouteFeedback::TimedOut) {
        const auto timeUs = static_cast<double>(usualLatency.count());
        m_latencyUs =
            m_latencyUs <= 0 ? timeUs : m_latencyUs + latencyWeight * (timeUs - m_latencyUs);
    }
}

/// Guards against a failure domain that is cut off, where connections hang until they time out.
/// Membership notices after seconds; until then each call that spills there would lose the time of
/// a connect. Ejection does not help, as it keeps half of the servers: an entry has to avoid all
/// servers that it cannot reach, however many they are.
void Server::updateReachability(TimePoint now, RouteFeedback feedback, const RouterOptions &options)
{
    if (feedback != RouteFeedback::Unreachable) {
        m_consecutiveUnreachable = 0;
        m_unreachableUntil = TimePoint();
        return;
    }
    const Duration wanted =
        options.unreachableTime * (1U << std::min(m_consecutiveUnreachable, 10U));
    m_unreachableUntil = now + std::min(wanted, options.maxUnreachableTime);
    ++m_consecutiveUnreachable;
}

void Server::onLoad(TimePoint now, const LoadReport &load)
{
    m_hasReport = true;
    m_report = load;
    m_reportedAt = now;
    m_outstandingAtReport = m_outstanding;
    m_isDraining = load.draining;
}

void Server::eject(TimePoint now, const RouterOptions &options)
{
    const Duration wanted = options.ejectionTime * (1U << std::min(m_ejections, 10U));
    m_ejectedUntil = now + std::min(wanted, options.maxEjectionTime);
    ++m_ejections;
    m_errorPoints = 0;
}

double Server::reportWeight(TimePoint now, const RouterOptions &options) const
{
    return m_hasReport ? linearDecay(now - m_reportedAt, options.reportLifetime) : 0;
}

double Server::freshness(TimePoint now, const RouterOptions &options) const
{
    return linearDecay(now - m_lastEndAt, options.observationLifetime);
}

double Server::speed(TimePoint now, const RouterOptions &options) const
{
    return 1 - reportWeight(now, options) * (1 - toRatio(m_report.speed));
}

double Server::capacity(TimePoint now, const RouterOptions &options) const
{
    double limit = m_slots;
    if (m_hasReport && m_report.limit > 0) {
        limit = std::min<double>(m_slots, m_report.limit);
    }
    limit *= speed(now, options);
    if (!options.hasSlowStart || m_warmupTime <= Duration::zero()) {
        return limit;
    }
    const double cold = linearDecay(now - m_warmupStart, m_warmupTime);
    const double share =
        m_reportsCold ? options.reportedColdCapacityShare : options.coldCapacityShare;
    return std::max(1.0, limit * (1 - cold * (1 - share)));
}

double Server::utilization(TimePoint now, const RouterOptions &options) const
{
    const double reported = m_report.inFlight + m_report.queued;
    if (!options.usesLocalObservations) {
        return reported / capacity(now, options);
    }
    // Calls of other entries are known from reports only; those of this entry are known exactly.
    const double others = std::max(0.0, reported - m_outstandingAtReport);
    const double calls = m_outstanding + reportWeight(now, options) * others;
    return std::min(calls / capacity(now, options), MAX_UTILIZATION);
}

double Server::latencyRatio(TimePoint now, double serviceLatencyUs,
                            const RouterOptions &options) const
{
    if (!options.usesLocalObservations || m_latencyUs <= 0 || serviceLatencyUs <= 0) {
        return 1;
    }
    const double usual = 1 + (m_latencyUs / serviceLatencyUs - 1) * freshness(now, options);
    return std::clamp(usual / speed(now, options), MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
}

double Server::errorShare(TimePoint now, const RouterOptions &options) const
{
    return options.hasErrorPenalty ? m_errorShare * freshness(now, options) : 0;
}

double Server::score(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const
{
    const double load = utilization(now, options) + 1 / capacity(now, options);
    return waitFactor(load) * latencyRatio(now, serviceLatencyUs, options)
        * (1 + ERROR_PENALTY * errorShare(now, options));
}

bool Server::isSaturated(TimePoint now, double serviceLatencyUs, const RouterOptions &options) const
{
    return utilization(now, options) >= options.spillUtilization
        || latencyRatio(now, serviceLatencyUs, options) > options.spillLatency
        || errorShare(now, options) > options.spillErrorShare;
}

Rank Server::floor(TimePoint now, const RouterOptions &options) const
{
    if (!m_hasReport || !options.hasFloor) {
        return Rank();
    }
    const Duration old = std::max(Duration(0), now - m_reportedAt - options.floorHold);
    const double level = m_report.floor.value() * linearDecay(old, options.floorDecay);
    return Rank(static_cast<std::uint32_t>(level));
}

} // namespace ivyspar
