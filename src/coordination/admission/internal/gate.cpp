#include "coordination/admission/internal/gate.h"

#include <algorithm>
#include <cmath>

#include "coordination/admission/internal/aimdlimit.h"
#include "coordination/admission/internal/fixedlimit.h"
#include "coordination/admission/internal/gradientlimit.h"
#include "coordination/admission/internal/probinglimit.h"
#include "state/idvalue.h"
#include "state/rank.h"

namespace ivyspar {

namespace {

/// Weight of one sample in the mean service time.
constexpr double SERVICE_TIME_WEIGHT = 0.05;

std::unique_ptr<IConcurrencyLimit> makeLimit(const GateOptions &options)
{
    switch (options.limit) {
    case LimitKind::Aimd:
        return std::make_unique<AimdLimit>(options.initialShare, options.minShare);
    case LimitKind::Gradient:
        return std::make_unique<GradientLimit>(options.initialShare, options.minShare);
    case LimitKind::Probing:
        return std::make_unique<ProbingLimit>(options.initialShare, options.minShare);
    case LimitKind::Fixed:
        break;
    }
    return std::make_unique<FixedLimit>();
}

/// Time over which the demand is averaged against a rate limit; entry daemons use the same.
constexpr Duration RATE_DEMAND_TIME = std::chrono::seconds(1);
/// Share of the queue in which calls may wait that can go to another server, if the server states
/// its speed.
constexpr double PASSED_ON_QUEUE_SHARE = 0.25;
/// Upper bound of the reported load.
constexpr double MAX_RATE_LOAD = 100;

double ratioOf(DemandShare a, DemandShare b)
{
    return static_cast<double>(a.value()) / static_cast<double>(b.value());
}

std::optional<Duration> slackOf(TimePoint now, const QueuedCall &call)
{
    if (!call.latestStart) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(*call.latestStart - now);
}

std::uint32_t ceilingOf(std::uint32_t slots, std::uint32_t connections)
{
    return std::min(slots, connections);
}

} // namespace

std::unique_ptr<IGate> makeGate(const GateOptions &options)
{
    return std::make_unique<Gate>(options);
}

Gate::Gate(const GateOptions &options)
    : m_options(options)
    , m_limit(makeLimit(options))
    , m_queue(options.order)
    , m_floor({ options.floorMargin, options.floorWindow, options.floorQuietWindows })
    , m_demand(DemandEstimateOptions())
    , m_ceiling(ceilingOf(options.slots, options.connections))
    , m_serviceTime(static_cast<double>(options.assumedServiceTime.count()))
{
    m_limit->setCeiling(m_ceiling);
}

GateActions Gate::offer(TimePoint now, const GateRequest &request)
{
    GateActions actions;
    advance(now, actions);
    if (m_isDraining) {
        refuse(request.id, Reason::Draining, actions);
        return actions;
    }
    if (m_ceiling == 0) {
        refuse(request.id, Reason::NoServer, actions);
        return actions;
    }
    if (request.deadline <= now) {
        refuse(request.id, Reason::DeadlineExceeded, actions);
        return actions;
    }
    if (now > latestStart(request.deadline)) {
        refuse(request.id, Reason::Doomed, actions);
        return actions;
    }
    m_floor.onArrival(request.rank);
    if (request.admittedShare != DemandShare()) {
        m_demand.onArrival(now, request.admittedShare, Duration(std::llround(m_serviceTime)));
        recordCallDemand(now, request.admittedShare);
    }
    m_queue.push(request, expectedTime(request.rule));
    m_queue.advance(now);
    startWaiting(now, actions);
    dropExcess(now, &request, actions);
    return actions;
}

GateActions Gate::finish(TimePoint now, CallId id, CallResult result, Duration serviceTime)
{
    GateActions actions;
    const std::uint32_t inFlight = occupied();
    const auto running = m_running.find(id);
    if (running == m_running.end()) {
        return actions;
    }
    const Duration usualTime = m_server.timeAtUsualSpeed(now, running->second.start, serviceTime);
    if (result == CallResult::Success) {
        m_times.add(running->second.rule, usualTime);
    }
    m_running.erase(running);
    // A rate limit keeps the server from its capacity, and refusals beyond it are not for want of
    // slots: such samples would be learned as a lower capacity. The time is as it was seen: the
    // limit remembers the fastest calls for longer than a speed that turns out to be false.
    if (!m_rate.isLimited()) {
        m_limit->onSample(now, { result, serviceTime, inFlight });
    }
    recordResult(result, usualTime);
    if (result == CallResult::TimedOut) {
        holdSlot(now, m_options.timedOutHold);
    }
    if (result == CallResult::Cancelled) {
        holdSlot(now, m_options.cancelledHold);
    }
    advance(now, actions);
    startWaiting(now, actions);
    return actions;
}

// The upstream may continue an abandoned call. If its slot were reused immediately, calls would
// queue inside the upstream, where they are neither ordered nor dropped, and time out in turn. A
// share of the mean service time covers the usual remainder; the upper bound keeps a hung upstream
// from blocking all slots for good.
void Gate::holdSlot(TimePoint now, double share)
{
    const Duration wanted(std::llround(share * presentServiceTime()));
    if (wanted.count() > 0) {
        m_held.push(now + std::min(wanted, m_options.maxHold));
    }
}

void Gate::recordResult(CallResult result, Duration serviceTime)
{
    // Errors and refusals can be fast, and cancelled calls are cut short, so neither is a sample of
    // the service time.
    if (result == CallResult::Success || result == CallResult::TimedOut) {
        const auto time = static_cast<double>(serviceTime.count());
        m_serviceTime += SERVICE_TIME_WEIGHT * (time - m_serviceTime);
    }
}

CancelEffect Gate::cancel(TimePoint /*now*/, CallId id)
{
    if (m_queue.remove(id)) {
        return CancelEffect::NotStarted;
    }
    return m_running.count(id) > 0 ? CancelEffect::Started : CancelEffect::Unknown;
}

GateActions Gate::tick(TimePoint now)
{
    GateActions actions;
    advance(now, actions);
    startWaiting(now, actions);
    return actions;
}

void Gate::advance(TimePoint now, GateActions &actions)
{
    while (!m_held.empty() && m_held.top() <= now) {
        m_held.pop();
    }
    m_server.advance(now);
    m_demand.advance(now, static_cast<double>(occupied() + m_queue.size()), m_ceiling);
    m_queue.advance(now);
    dropDoomed(now, actions);
    if (m_options.hasFloor) {
        m_floor.advance(now, Duration(std::llround(presentServiceTime())));
    }
}

void Gate::dropDoomed(TimePoint now, GateActions &actions)
{
    while (!m_queue.isEmpty() && now > latestStart(m_queue.earliestDeadline())) {
        const QueuedCall doomed = m_queue.popEarliest(now);
        const bool isOver = doomed.request.deadline <= now;
        refuse(doomed.request.id, isOver ? Reason::DeadlineExceeded : Reason::Doomed, actions);
        actions.back().basis.slack = slackOf(now, doomed);
        m_floor.onCapacityRefusal();
    }
}

void Gate::dropExcess(TimePoint now, const GateRequest *newcomer, GateActions &actions)
{
    passOn(now, actions);
    while (m_options.isQueueBounded && m_queue.size() > maxQueueLength()) {
        const QueuedCall refused = m_queue.popLast(now);
        const CallId id = refused.request.id;
        if (m_rate.isLimited() && hasFreeSlot()) {
            refuseForRate(now, id, actions);
        } else {
            refuse(id, Reason::QueueFull, actions);
        }
        actions.back().basis = refusalBasis(now, refused, newcomer);
        m_floor.onCapacityRefusal();
    }
}

// Servers that state their speed differ in it from moment to moment, and entry daemons learn late
// which ones are slow. Without this, calls would wait here while other servers have free slots. A
// call that another gate has refused waits, as all servers are probably full.
void Gate::passOn(TimePoint now, GateActions &actions)
{
    const bool waitsForRate = m_rate.isLimited() && hasFreeSlot();
    if (!m_server.isKnown() || waitsForRate) {
        return;
    }
    const auto longest = static_cast<std::size_t>(std::lround(
        PASSED_ON_QUEUE_SHARE * m_server.speed() * static_cast<double>(maxQueueLength())));
    while (m_queue.size() > longest) {
        const auto call = m_queue.popLastThatMayGoElsewhere();
        if (!call) {
            return;
        }
        refuse(call->request.id, Reason::QueueFull, actions);
        actions.back().basis.slack = slackOf(now, *call);
    }
}

GateOrderBasis Gate::refusalBasis(TimePoint now, const QueuedCall &refused,
                                  const GateRequest *newcomer) const
{
    GateOrderBasis basis;
    basis.slack = slackOf(now, refused);
    const bool isOther = newcomer && newcomer->id != refused.request.id;
    if (isOther) {
        basis.rival = newcomer->id;
        basis.isDisplacedByPriority = priorityOf(newcomer->rank) > priorityOf(refused.request.rank);
    } else if (!m_queue.isEmpty()) {
        basis.rival = m_queue.last().id;
    }
    return basis;
}

void Gate::startWaiting(TimePoint now, GateActions &actions)
{
    while (!m_queue.isEmpty() && hasFreeSlot() && m_rate.tryTake(now)) {
        start(now, m_queue.popFirst(now), actions);
    }
    const auto longest = static_cast<double>(std::max<std::size_t>(maxQueueLength(), 1));
    const double fill = static_cast<double>(m_queue.size()) / longest;
    m_floor.setQueue(fill, m_queue.isEmpty() && hasFreeSlot() && m_rate.hasToken(now));
}

void Gate::start(TimePoint now, const QueuedCall &call, GateActions &actions)
{
    m_running.emplace(call.request.id, Running{ call.request.rule, m_server.startWork(now) });
    m_floor.onStart();
    GateOrderBasis basis;
    basis.slack = slackOf(now, call);
    basis.isOwed = call.isOwed;
    actions.push_back({ GateVerb::Start, call.request.id, {}, basis });
}

void Gate::refuse(CallId id, Reason reason, GateActions &actions)
{
    const auto shortest = static_cast<double>(m_options.retryAfter.count());
    const Duration retryAfter(std::llround(shortest * (1 + toUnitInterval(id.value()))));
    actions.push_back({ GateVerb::Refuse, id, { Outcome::NotRun, reason, retryAfter } });
}

/// A caller that returns before its turn would only be refused again.
void Gate::refuseForRate(TimePoint now, CallId id, GateActions &actions)
{
    const Duration soonest = m_rate.timeUntil(now, m_queue.size() + 1);
    const auto shortest = static_cast<double>(std::max(soonest, m_options.retryAfter).count());
    const Duration retryAfter(std::llround(shortest * (1 + toUnitInterval(id.value()))));
    actions.push_back(
        { GateVerb::Refuse, id, { Outcome::NotRun, Reason::RateLimited, retryAfter } });
}

bool Gate::hasFreeSlot() const
{
    return occupied() < limit();
}

std::uint32_t Gate::limit() const
{
    return std::min(m_limit->limit(), m_server.freeSlots(m_ceiling));
}

double Gate::presentServiceTime() const
{
    return m_serviceTime / m_server.speed();
}

std::uint32_t Gate::occupied() const
{
    return static_cast<std::uint32_t>(m_running.size() + m_held.size());
}

// A queue of `queueWait × limit` calls drains in `queueWait` service times at the usual speed.
std::size_t Gate::maxQueueLength() const
{
    const double bound = m_options.queueWait * limit();
    const auto bySlots = std::max<std::size_t>(m_options.minQueue, std::lround(bound));
    return m_rate.isLimited() ? std::min(bySlots, m_rate.maxWaiting()) : bySlots;
}

// The latest start that can still meet the deadline. With no call running there is no recent
// sample, so calls are started regardless of the mean; otherwise a mean left over from a slow
// period would refuse all calls for good.
TimePoint Gate::latestStart(TimePoint deadline) const
{
    if (!m_options.isDoomedDropped || m_running.empty()) {
        return deadline;
    }
    return deadline - Duration(std::llround(m_options.doomedShare * presentServiceTime()));
}

TimePoint Gate::nextTick() const
{
    TimePoint next = m_options.hasFloor ? m_floor.nextChange() : TimePoint::max();
    if (!m_queue.isEmpty()) {
        next = std::min(next, latestStart(m_queue.earliestDeadline()) + Duration(1));
        next = std::min(next, m_server.expiresAt());
    }
    if (!m_held.empty()) {
        next = std::min(next, m_held.top());
    }
    if (!m_queue.isEmpty() && m_rate.isLimited() && hasFreeSlot()) {
        next = std::min(next, m_rate.nextTokenAt());
    }
    return next;
}

GateActions Gate::setCapacity(TimePoint now, std::uint32_t slots, std::uint32_t connections)
{
    GateActions actions;
    m_ceiling = ceilingOf(slots, connections);
    m_limit->setCeiling(m_ceiling);
    advance(now, actions);
    startWaiting(now, actions);
    if (m_ceiling > 0) {
        dropExcess(now, nullptr, actions);
        return actions;
    }
    while (!m_queue.isEmpty()) {
        refuse(m_queue.popLast(now).request.id, Reason::NoServer, actions);
    }
    return actions;
}

GateActions Gate::setRateLimit(TimePoint now, std::optional<RequestRate> limit)
{
    GateActions actions;
    if (m_rate.isLimited() != limit.has_value()) {
        m_limit->endTrial();
        // Earlier calls came for the whole capacity; counted as demand, they would make entry
        // daemons refuse requests that other servers have room for.
        m_callDemand = DemandRate();
    }
    m_rate.setLimit(now, limit);
    advance(now, actions);
    startWaiting(now, actions);
    dropExcess(now, nullptr, actions);
    return actions;
}

GateActions Gate::setServerLoad(TimePoint now, const ServerLoad &load)
{
    GateActions actions;
    m_server.setLoad(now, load);
    advance(now, actions);
    startWaiting(now, actions);
    return actions;
}

bool Gate::tryCountSend(TimePoint now)
{
    return m_rate.tryTake(now);
}

Duration Gate::reserveSend(TimePoint now)
{
    m_rate.charge(now);
    return m_rate.timeUntil(now, 0);
}

void Gate::recordCallDemand(TimePoint now, DemandShare admittedShare)
{
    if (m_rate.isLimited()) {
        m_callDemand.add(now, ratioOf(WHOLE_DEMAND, admittedShare), RATE_DEMAND_TIME);
    }
}

DemandLoad Gate::rateLoad(TimePoint now) const
{
    if (!m_rate.isLimited()) {
        return DemandLoad();
    }
    const double load = m_callDemand.rate(now, RATE_DEMAND_TIME) / m_rate.rate();
    return DemandLoad(
        static_cast<std::uint32_t>(std::lround(std::min(load, MAX_RATE_LOAD) * FULL_LOAD.value())));
}

void Gate::setDraining(bool draining)
{
    m_isDraining = draining;
}

LoadReport Gate::load(TimePoint now) const
{
    LoadReport report;
    report.inFlight = occupied();
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.limit = limit();
    report.floor = m_options.hasFloor ? m_floor.floor() : Rank();
    const double capacity = m_ceiling * m_server.meanSpeed(now);
    report.demand = std::max(m_demand.load(now, capacity), rateLoad(now));
    report.draining = m_isDraining;
    report.speed = m_server.reportedSpeed(now);
    return report;
}

std::uint32_t Gate::queuedOnTime() const
{
    return static_cast<std::uint32_t>(m_queue.onTimeCount());
}

Duration Gate::expectedTime(const RuleName &rule) const
{
    const auto known = m_times.of(rule);
    const double usual = known ? static_cast<double>(known->count()) : m_serviceTime;
    return Duration(std::llround(usual / m_server.speed()));
}

} // namespace ivyspar
