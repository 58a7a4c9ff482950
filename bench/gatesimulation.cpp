#include "bench/gatesimulation.h"

#include <algorithm>
#include <cmath>

#include "state/rank.h"

namespace ivyspar::lab {

namespace {

constexpr double MICROSECONDS = 1e6;
constexpr double FLOOR_SAMPLING = 0.005;
constexpr double RECOVERY_WINDOW = 0.1;
constexpr double RECOVERED_SHARE = 0.95;
constexpr Priority LOW(10);
constexpr Priority MIDDLE(50);
constexpr Priority HIGH(90);
constexpr double LOW_SHARE = 0.7;
constexpr double HIGH_SHARE = 0.05;
constexpr double P99 = 0.99;

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

Duration toDuration(double seconds)
{
    return Duration(std::llround(seconds * MICROSECONDS));
}

} // namespace

double ClassFigures::p99() const
{
    return quantile(latencies, P99);
}

GateSimulation::GateSimulation(GateOptions options, const UpstreamModel &upstream,
                               const LoadProfile &profile, std::uint64_t seed)
    : m_options(options)
    , m_upstream(upstream)
    , m_profile(profile)
    , m_random(seed)
{
    m_options.slots = upstream.announcedSlots;
    m_options.connections = upstream.announcedSlots;
    m_gate = makeGate(m_options);
}

void GateSimulation::at(double time, std::function<void()> action)
{
    m_events.push({ time, ++m_order, std::move(action) });
}

TimePoint GateSimulation::now() const
{
    // Away from 0, as a real clock is.
    return TimePoint(toDuration(m_now + 1));
}

bool GateSimulation::isTrigger() const
{
    return m_now >= m_profile.triggerStart && m_now < m_profile.triggerEnd;
}

double GateSimulation::load() const
{
    return isTrigger() ? m_profile.triggerLoad : m_profile.quietLoad;
}

/// Calls per second that the upstream can complete at its best concurrency.
double GateSimulation::capacity() const
{
    const double workers = m_upstream.workers;
    if (m_upstream.knee <= 0) {
        return workers / m_upstream.serviceTime;
    }
    // c / (1 + (c / knee)²) is largest at c = knee.
    const double best = std::min(m_upstream.knee, workers);
    return best / (m_upstream.serviceTime * (1 + std::pow(best / m_upstream.knee, 2)));
}

double GateSimulation::drawServiceTime()
{
    double time = m_upstream.serviceTime
        * (m_upstream.fixedShare - (1 - m_upstream.fixedShare) * std::log(1 - m_random.unit()));
    if (m_upstream.knee > 0) {
        time *= 1 + std::pow(m_working / m_upstream.knee, 2);
    }
    return isTrigger() ? time * m_profile.slowdown : time;
}

GateFigures GateSimulation::run()
{
    scheduleArrival();
    sampleFloor();
    while (!m_events.empty() && m_events.top().at < m_profile.end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
        scheduleTick();
    }
    return figures();
}

void GateSimulation::scheduleTick()
{
    const TimePoint next = m_gate->nextTick();
    if (next == TimePoint::max()) {
        return;
    }
    const double time = static_cast<double>(next.time_since_epoch().count()) / MICROSECONDS - 1;
    if (m_nextTick > m_now && m_nextTick <= time) {
        return;
    }
    m_nextTick = std::max(time, m_now + 1 / MICROSECONDS);
    at(m_nextTick, [this] { apply(m_gate->tick(now())); });
}

void GateSimulation::sampleFloor()
{
    const Rank floor = m_gate->load(now()).floor;
    if (floor != m_lastFloor && isTrigger()) {
        m_figures.floorChanges += 1;
    }
    m_lastFloor = floor;
    if (m_profile.floorDelay >= 0) {
        at(m_now + m_profile.floorDelay, [this, floor] { m_entryFloor = floor; });
    }
    at(m_now + FLOOR_SAMPLING, [this] { sampleFloor(); });
}

void GateSimulation::scheduleArrival()
{
    const double gap = -std::log(1 - m_random.unit()) / (load() * capacity());
    at(m_now + gap, [this] {
        arrive();
        scheduleArrival();
    });
}

void GateSimulation::arrive()
{
    const double share = m_random.unit();
    Priority priority = share < HIGH_SHARE ? HIGH : MIDDLE;
    if (share > 1 - LOW_SHARE) {
        priority = LOW;
    }
    Request request;
    request.arrival = m_now;
    request.rank = makeRank(priority, Depth(0), RootId(m_random.next()));
    m_requests.push_back(request);
    attempt(m_requests.size() - 1);
}

void GateSimulation::attempt(std::size_t index)
{
    Request &request = m_requests[index];
    ++request.attempts;
    request.isRefused = false;
    if (request.rank < m_entryFloor) {
        request.isRefused = true;
        retry(index);
        return;
    }
    const std::uint64_t id = ++m_lastCall;
    m_calls[id] = { index, m_now + m_profile.wait, -1, false };
    m_gateArrivals += isTrigger() ? 1 : 0;
    const TimePoint deadline = now() + toDuration(m_profile.wait);
    at(m_now + m_profile.wait, [this, id] { giveUp(id); });
    apply(m_gate->offer(now(), { CallId(id), request.rank, deadline }));
}

void GateSimulation::retry(std::size_t index)
{
    if (m_requests[index].attempts <= m_profile.callerRetries) {
        at(m_now + m_profile.retryDelay, [this, index] { attempt(index); });
    }
}

void GateSimulation::apply(const GateActions &actions)
{
    for (const GateAction &action : actions) {
        if (action.verb == GateVerb::Start) {
            start(action.id.value());
            continue;
        }
        Call &call = m_calls[action.id.value()];
        call.isOver = true;
        m_requests[call.request].isRefused = true;
        retry(call.request);
    }
}

void GateSimulation::start(std::uint64_t id)
{
    m_calls[id].startedAt = m_now;
    ++m_inFlight;
    m_gateStarts += isTrigger() ? 1 : 0;
    m_figures.mostInFlight = std::max(m_figures.mostInFlight, m_inFlight);
    m_waitingAtUpstream.push(id);
    workNext();
}

void GateSimulation::workNext()
{
    while (m_working < m_upstream.workers && !m_waitingAtUpstream.empty()) {
        const std::uint64_t id = m_waitingAtUpstream.front();
        m_waitingAtUpstream.pop();
        if (m_upstream.acceptsCancel && m_calls[id].isOver) {
            continue;
        }
        ++m_working;
        const double took = drawServiceTime();
        at(m_now + took, [this, id, took] { workDone(id, took); });
    }
}

void GateSimulation::workDone(std::uint64_t id, double took)
{
    --m_working;
    Call &call = m_calls[id];
    m_work += took;
    if (call.isOver) {
        m_wasted += took;
    } else {
        call.isOver = true;
        --m_inFlight;
        Request &request = m_requests[call.request];
        request.isDone = true;
        request.latency = m_now - request.arrival;
        m_goodput += isTrigger() ? 1 : 0;
        const Duration serviceTime = toDuration(m_now - call.startedAt);
        apply(m_gate->finish(now(), CallId(id), CallResult::Success, serviceTime));
    }
    workNext();
}

void GateSimulation::giveUp(std::uint64_t id)
{
    Call &call = m_calls[id];
    if (call.isOver) {
        return;
    }
    call.isOver = true;
    if (call.startedAt < 0) {
        m_gate->cancel(now(), CallId(id));
    } else {
        --m_inFlight;
        const Duration serviceTime = toDuration(m_now - call.startedAt);
        apply(m_gate->finish(now(), CallId(id), CallResult::TimedOut, serviceTime));
    }
    retry(call.request);
}

GateFigures GateSimulation::figures() const
{
    GateFigures result = m_figures;
    const double length = m_profile.triggerEnd - m_profile.triggerStart;
    const double load = std::min(1.0, m_profile.triggerLoad * m_profile.slowdown);
    const double possible = load * length * capacity() / m_profile.slowdown;
    result.goodputShare = static_cast<double>(m_goodput) / possible;
    result.wastedShare = m_work > 0 ? m_wasted / m_work : 0;
    result.arrivalsPerStart = static_cast<double>(m_gateArrivals)
        / std::max<double>(1, static_cast<double>(m_gateStarts));
    result.floorChanges /= length;
    std::vector<double> quiet;
    for (const Request &request : m_requests) {
        const Priority priority = priorityOf(request.rank);
        const bool isInTrigger =
            request.arrival >= m_profile.triggerStart && request.arrival < m_profile.triggerEnd;
        if (request.arrival < m_profile.triggerStart && priority == HIGH && request.isDone) {
            quiet.push_back(request.latency);
        }
        if (!isInTrigger) {
            continue;
        }
        ClassFigures &figures =
            priority == HIGH ? result.high : (priority == LOW ? result.low : result.middle);
        ++figures.offered;
        figures.completed += request.isDone ? 1 : 0;
        figures.refused += !request.isDone && request.isRefused ? 1 : 0;
        if (request.isDone) {
            figures.latencies.push_back(request.latency);
        }
    }
    result.quietHighP99 = quantile(quiet, P99);
    result.recovery = recovery();
    return result;
}

/// Looks at requests by the window in which they arrived, so that the noise of arrivals cancels.
double GateSimulation::recovery() const
{
    const double last = m_profile.end - m_profile.wait * (m_profile.callerRetries + 2);
    const auto windows = static_cast<std::size_t>(last / RECOVERY_WINDOW);
    std::vector<double> arrived(windows);
    std::vector<double> done(windows);
    for (const Request &request : m_requests) {
        const auto window = static_cast<std::size_t>(request.arrival / RECOVERY_WINDOW);
        if (window < windows) {
            arrived[window] += 1;
            done[window] += request.isDone ? 1 : 0;
        }
    }
    double recovered = -1;
    for (std::size_t i = windows; i > 0; --i) {
        const double start = static_cast<double>(i - 1) * RECOVERY_WINDOW;
        if (done[i - 1] < RECOVERED_SHARE * arrived[i - 1] || start < m_profile.triggerEnd) {
            break;
        }
        recovered = start - m_profile.triggerEnd;
    }
    return recovered;
}

} // namespace ivyspar::lab
