#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "coordination/admission/gatefactory.h"
#include "state/internal/seededrandom.h"

namespace ivyspar::lab {

/// The upstream behind the gate: workers that each take one call at a time, and a queue inside.
struct UpstreamModel
{
    std::uint32_t announcedSlots = 80;
    /// Calls that it really works on at a time.
    std::uint32_t workers = 80;
    /// Mean of the service time.
    double serviceTime = 0.05;
    /// Share of the service time that is the same for all calls; the rest is exponential.
    double fixedShare = 0.75;
    /// Concurrency at which calls take twice as long as one alone; 0: they don't slow each other.
    double knee = 0;
    /// It stops work on calls that were given up.
    bool acceptsCancel = false;
};

/// Offered load and trouble over time. Times are in seconds from the start.
struct LoadProfile
{
    double triggerStart = 4;
    double triggerEnd = 8;
    double end = 14;
    /// Offered load over capacity, outside and inside of the trigger.
    double quietLoad = 0.8;
    double triggerLoad = 3;
    /// Factor on the service time inside of the trigger.
    double slowdown = 1;
    /// A caller that is refused or given up on tries again this often, after `retryDelay`.
    std::uint32_t callerRetries = 2;
    double retryDelay = 0.1;
    /// From the caller's start to its deadline.
    double wait = 0.5;
    /// Age of the floor that entries go by; negative: they ignore it.
    double floorDelay = 0.02;
};

/// Figures of one class of calls, over the trigger.
struct ClassFigures
{
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::vector<double> latencies;
    double p99() const;
};

struct GateFigures
{
    /// Completed calls over what the upstream could complete, inside of the trigger.
    double goodputShare = 0;
    /// From the trigger's end until as many calls complete as before and stay so; negative: never.
    double recovery = -1;
    /// Work of the upstream for calls that did not complete, over all its work.
    double wastedShare = 0;
    /// Calls that reached the gate for each that it started, inside of the trigger.
    double arrivalsPerStart = 0;
    /// Changes of the floor per second inside of the trigger.
    double floorChanges = 0;
    std::uint32_t mostInFlight = 0;
    double quietHighP99 = 0;
    ClassFigures low;
    ClassFigures middle;
    ClassFigures high;
};

/// One gate in front of one modelled upstream, under fake time.
class GateSimulation
{
public:
    GateSimulation(GateOptions options, const UpstreamModel &upstream, const LoadProfile &profile,
                   std::uint64_t seed);
    GateFigures run();

private:
    struct Event
    {
        double at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    /// A caller's request, over all its attempts.
    struct Request
    {
        double arrival = 0;
        Rank rank;
        std::uint32_t attempts = 0;
        bool isDone = false;
        bool isRefused = false;
        double latency = 0;
    };
    /// An attempt at the gate.
    struct Call
    {
        std::size_t request = 0;
        double deadline = 0;
        double startedAt = -1;
        bool isOver = false;
    };

    void at(double time, std::function<void()> action);
    TimePoint now() const;
    bool isTrigger() const;
    double load() const;
    void scheduleArrival();
    void arrive();
    void attempt(std::size_t request);
    void retry(std::size_t request);
    void apply(const GateActions &actions);
    void start(std::uint64_t call);
    void giveUp(std::uint64_t call);
    void workNext();
    void workDone(std::uint64_t call, double took);
    void scheduleTick();
    void sampleFloor();
    double drawServiceTime();
    double capacity() const;
    GateFigures figures() const;
    double recovery() const;

    GateOptions m_options;
    UpstreamModel m_upstream;
    LoadProfile m_profile;
    SeededRandom m_random;
    std::unique_ptr<IGate> m_gate;

    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    double m_nextTick = -1;
    std::vector<Request> m_requests;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::queue<std::uint64_t> m_waitingAtUpstream;
    std::uint32_t m_working = 0;
    std::uint32_t m_inFlight = 0;
    Rank m_entryFloor;
    Rank m_lastFloor;
    GateFigures m_figures;
    double m_work = 0;
    double m_wasted = 0;
    std::uint64_t m_gateArrivals = 0;
    std::uint64_t m_gateStarts = 0;
    std::uint64_t m_goodput = 0;
};

} // namespace ivyspar::lab
