#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/admission/gatefactory.h"
#include "coordination/routing/routerfactory.h"
#include "coordination/upstreams/loadstatementtracker.h"
#include "state/internal/seededrandom.h"
#include "state/tests/mocks/simulatedtime.h"

namespace ivyspar {

/// A service whose servers differ in speed, and whose machines turn slow for short times. Each
/// server has a gate; calls arrive at entries, each with a router.
class UnevenService
{
public:
    struct Server
    {
        /// Speed of its machine, relative to the usual one.
        double machineSpeed = 1;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };
    /// What a server states; nothing if it states no load.
    using Statement = std::function<std::optional<StatedLoad>(const Server &)>;

    struct Options
    {
        std::size_t servers = 27;
        std::size_t entries = 27;
        std::uint32_t slots = 20;
        double minBaseSpeed = 0.5;
        double maxBaseSpeed = 1.7;
        Duration meanWork = std::chrono::milliseconds(160);
        /// Share of the machines that are slow at a time, and for how long each time.
        double slowShare = 0.15;
        double slowSpeed = 0.4;
        Duration slowTime = std::chrono::milliseconds(600);
        /// Demand over the capacity.
        double load = 0.9;
        /// One queue for all servers instead of gates and routers.
        bool hasSingleQueue = false;
        std::uint64_t seed = 7;
    };

    struct Totals
    {
        std::vector<Duration> times;
        std::uint32_t refused = 0;
        std::uint32_t refusedAttempts = 0;
        std::uint32_t failed = 0;
        /// Work of the calls that were answered, over the capacity.
        double usedCapacity = 0;

        Duration percentile(double share)
        {
            const auto at = times.begin()
                + static_cast<std::ptrdiff_t>(share * static_cast<double>(times.size() - 1));
            std::nth_element(times.begin(), at, times.end());
            return *at;
        }
    };

    explicit UnevenService(const Options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_routing(options.seed + 1)
        , m_hosts(options.servers)
    {
        std::vector<Member> members;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            startHost(i);
            members.push_back({ daemonOf(i), {}, 1, {}, {}, { infoOf(i) }, false });
        }
        for (std::size_t i = 0; i < options.entries; ++i) {
            m_routers.push_back(makeRouter({}));
            m_routers.back()->setMembers(m_time.now(), members);
        }
        scheduleArrival();
    }

    /// What the server with that index states from now on.
    void setStatement(std::size_t server, Statement statement)
    {
        m_hosts[server].statement = std::move(statement);
    }
    void setStatement(const Statement &statement)
    {
        for (Host &host : m_hosts) {
            host.statement = statement;
        }
    }
    /// The server fails all its calls at once from now on.
    void setFailing(std::size_t server) { m_hosts[server].isFailing = true; }
    /// The machine of the server turns slow or usual.
    void setSpeed(std::size_t server, double speed)
    {
        Host &host = m_hosts[server];
        host.clock.setSpeed(m_time.now(), speed * host.baseSpeed);
        host.state.machineSpeed = speed;
        scheduleEnds(server);
    }
    /// The daemon beside the server starts anew: its gate knows nothing of the calls under way.
    void restartGate(std::size_t server)
    {
        m_hosts[server].gate = makeGate(gateOptions());
        m_hosts[server].tracker = LoadStatementTracker();
    }
    LoadReport report(std::size_t server) const { return m_hosts[server].gate->load(m_time.now()); }

    /// Calls per second at which all servers are fully used.
    double capacity() const
    {
        double speeds = 0;
        for (const Host &host : m_hosts) {
            speeds += host.baseSpeed;
        }
        const double available = 1 - m_options.slowShare * (1 - m_options.slowSpeed);
        return speeds * available * m_options.slots / toSeconds(m_options.meanWork);
    }
    Totals run(Duration length)
    {
        m_totals = Totals();
        m_work = 0;
        m_time.run(length);
        m_totals.usedCapacity =
            m_work / (capacity() * toSeconds(length) * toSeconds(m_options.meanWork));
        return m_totals;
    }

private:
    struct Call
    {
        std::size_t entry = 0;
        std::size_t server = 0;
        TimePoint arrivedAt;
        TimePoint sentAt;
        TimePoint startedAt;
        double work = 0;
        std::vector<DaemonId> tried;
        TrackedCall tracked;
    };
    struct Host
    {
        Server state;
        double baseSpeed = 1;
        /// Counts work with both speeds.
        WorkClock clock;
        /// Running calls by the reading of the clock at which they end.
        std::multimap<double, CallId> ends;
        std::uint64_t schedule = 0;
        std::deque<CallId> queue;
        bool isFailing = false;
        Statement statement;
        LoadStatementTracker tracker;
        std::unique_ptr<IGate> gate;
    };

    static constexpr Duration LINK_DELAY = std::chrono::microseconds(500);
    static constexpr Duration TIMEOUT = std::chrono::seconds(5);
    static constexpr std::size_t MAX_ATTEMPTS = 4;
    static constexpr double MICROS_PER_SECOND = 1e6;

    static ServiceName service() { return ServiceName("uneven"); }
    static DaemonId daemonOf(std::size_t i) { return DaemonId(std::to_string(i)); }
    UpstreamInfo infoOf(std::size_t /*i*/) const
    {
        return { service(), m_options.slots, m_options.slots, false };
    }
    GateOptions gateOptions() const
    {
        GateOptions options;
        options.slots = m_options.slots;
        options.connections = m_options.slots;
        options.hasFloor = false;
        return options;
    }

    void startHost(std::size_t i)
    {
        Host &host = m_hosts[i];
        const double share = static_cast<double>(i) / static_cast<double>(m_hosts.size() - 1);
        host.baseSpeed =
            m_options.minBaseSpeed + (m_options.maxBaseSpeed - m_options.minBaseSpeed) * share;
        host.state.slots = m_options.slots;
        host.gate = makeGate(gateOptions());
        setSpeed(i, 1);
        if (m_options.slowShare > 0) {
            scheduleSlowTime(i);
        }
    }

    void scheduleSlowTime(std::size_t i)
    {
        const double mean =
            toSeconds(m_options.slowTime) * (1 - m_options.slowShare) / m_options.slowShare;
        m_time.schedule(exponential(mean), [this, i] {
            setSpeed(i, m_options.slowSpeed);
            m_time.schedule(m_options.slowTime, [this, i] {
                setSpeed(i, 1);
                scheduleSlowTime(i);
            });
        });
    }

    Duration exponential(double meanSeconds)
    {
        const double seconds = -std::log(1 - m_random.unit()) * meanSeconds;
        return Duration(std::llround(seconds * MICROS_PER_SECOND));
    }

    void scheduleArrival()
    {
        m_time.schedule(exponential(1 / (m_options.load * capacity())), [this] {
            scheduleArrival();
            const CallId id(++m_lastCall);
            Call &call = m_calls[id];
            call.entry = m_random.below(m_routers.size());
            call.arrivedAt = m_time.now();
            call.work = static_cast<double>(m_options.meanWork.count()) * (0.5 + m_random.unit());
            if (m_options.hasSingleQueue) {
                m_queue.push_back(id);
                startQueued();
            } else {
                route(id);
            }
        });
    }

    // Single queue

    void startQueued()
    {
        while (!m_queue.empty()) {
            const std::size_t first = m_routing.below(m_hosts.size());
            std::size_t i = 0;
            while (i < m_hosts.size() && hostAt(first + i).state.running >= m_options.slots) {
                ++i;
            }
            if (i == m_hosts.size()) {
                return;
            }
            const CallId id = m_queue.front();
            m_queue.pop_front();
            m_calls[id].server = (first + i) % m_hosts.size();
            startAtServer(id);
        }
    }
    Host &hostAt(std::size_t i) { return m_hosts[i % m_hosts.size()]; }

    // Entry

    void route(CallId id)
    {
        Call &call = m_calls[id];
        RouteRequest request{ service(), Rank(1000), call.tried };
        const RouteChoice choice = m_routers[call.entry]->choose(m_time.now(), request, m_routing);
        if (choice.daemon.value().empty() || call.tried.size() >= MAX_ATTEMPTS) {
            ++m_totals.refused;
            m_calls.erase(id);
            return;
        }
        call.server = std::stoul(choice.daemon.value());
        call.sentAt = m_time.now();
        call.tried.push_back(choice.daemon);
        m_routers[call.entry]->onSent(m_time.now(), service(), choice.daemon);
        m_time.schedule(LINK_DELAY, [this, id] {
            const Call &sent = m_calls[id];
            GateRequest offer{ id, Rank(1000), sent.arrivedAt + TIMEOUT, WHOLE_DEMAND };
            offer.mayGoElsewhere = sent.tried.size() == 1;
            perform(sent.server, gateOf(id).offer(m_time.now(), offer));
        });
    }

    void answer(CallId id, RouteFeedback feedback)
    {
        const LoadReport load = gateOf(id).load(m_time.now());
        m_time.schedule(LINK_DELAY, [this, id, feedback, load] {
            const TimePoint now = m_time.now();
            const Call call = m_calls[id];
            const DaemonId daemon = daemonOf(call.server);
            IRouter &router = *m_routers[call.entry];
            router.onEnd(now, service(), daemon, feedback,
                         std::chrono::duration_cast<Duration>(now - call.sentAt), load.speed);
            router.onLoad(now, service(), daemon, load);
            if (feedback == RouteFeedback::Refused) {
                ++m_totals.refusedAttempts;
                route(id);
                return;
            }
            end(id, feedback == RouteFeedback::Answered);
        });
    }

    void end(CallId id, bool isSuccess)
    {
        const Call &call = m_calls[id];
        if (isSuccess) {
            m_totals.times.push_back(
                std::chrono::duration_cast<Duration>(m_time.now() - call.arrivedAt));
            m_work += call.work / MICROS_PER_SECOND;
        } else {
            ++m_totals.failed;
        }
        m_calls.erase(id);
    }

    // Gate

    IGate &gateOf(CallId id) { return *m_hosts[m_calls[id].server].gate; }

    void perform(std::size_t server, const GateActions &actions)
    {
        for (const GateAction &action : actions) {
            if (action.verb == GateVerb::Start) {
                Call &call = m_calls[action.id];
                Host &host = m_hosts[server];
                const std::uint32_t own = host.gate->load(m_time.now()).inFlight;
                call.tracked = host.tracker.startCall(m_time.now(), own);
                startAtServer(action.id);
            } else {
                answer(action.id, RouteFeedback::Refused);
            }
        }
        const TimePoint next = m_hosts[server].gate->nextTick();
        if (next != TimePoint::max()) {
            m_time.scheduleAt(next, [this, server] {
                if (m_hosts[server].gate->nextTick() <= m_time.now()) {
                    perform(server, m_hosts[server].gate->tick(m_time.now()));
                }
            });
        }
    }

    void onResponse(CallId id, bool isSuccess)
    {
        const TimePoint now = m_time.now();
        Call &call = m_calls[id];
        Host &host = m_hosts[call.server];
        if (isSuccess) {
            host.tracker.onSuccess(now, call.tracked);
        }
        if (const auto stated = host.statement ? host.statement(host.state) : std::nullopt) {
            host.tracker.onStatement(now, *stated, host.gate->load(now).inFlight);
            if (host.tracker.hasStatedSpeed()) {
                perform(call.server, host.gate->setServerLoad(now, host.tracker.serverLoad()));
            }
        }
        const auto time = std::chrono::duration_cast<Duration>(now - call.startedAt);
        const CallResult result = isSuccess ? CallResult::Success : CallResult::Failure;
        const GateActions next = host.gate->finish(now, id, result, time);
        answer(id, isSuccess ? RouteFeedback::Answered : RouteFeedback::UpstreamError);
        perform(call.server, next);
    }

    // Server

    void startAtServer(CallId id)
    {
        Call &call = m_calls[id];
        Host &host = m_hosts[call.server];
        call.startedAt = m_time.now();
        if (host.isFailing) {
            m_time.schedule(Duration(1), [this, id] { onResponse(id, false); });
            return;
        }
        if (host.state.running >= m_options.slots) {
            host.queue.push_back(id);
            host.state.waiting = static_cast<std::uint32_t>(host.queue.size());
            return;
        }
        ++host.state.running;
        host.ends.emplace(host.clock.workAt(m_time.now()) + call.work, id);
        scheduleEnds(call.server);
    }

    void scheduleEnds(std::size_t server)
    {
        Host &host = m_hosts[server];
        const std::uint64_t schedule = ++host.schedule;
        if (host.ends.empty()) {
            return;
        }
        const double left = host.ends.begin()->first - host.clock.workAt(m_time.now());
        const double speed = host.baseSpeed * host.state.machineSpeed;
        const Duration wait(std::max<Duration::rep>(std::llround(std::ceil(left / speed)), 0));
        m_time.schedule(wait, [this, server, schedule] {
            if (m_hosts[server].schedule == schedule) {
                endFirst(server);
            }
        });
    }

    void endFirst(std::size_t server)
    {
        Host &host = m_hosts[server];
        const CallId id = host.ends.begin()->second;
        host.ends.erase(host.ends.begin());
        --host.state.running;
        if (!host.queue.empty()) {
            const CallId next = host.queue.front();
            host.queue.pop_front();
            host.state.waiting = static_cast<std::uint32_t>(host.queue.size());
            ++host.state.running;
            host.ends.emplace(host.clock.workAt(m_time.now()) + m_calls[next].work, next);
        }
        scheduleEnds(server);
        if (m_options.hasSingleQueue) {
            end(id, true);
            startQueued();
        } else {
            onResponse(id, true);
        }
    }

    Options m_options;
    SeededRandom m_random;
    SeededRandom m_routing;
    SimulatedTime m_time{ TimePoint(std::chrono::seconds(100)) };
    std::vector<Host> m_hosts;
    std::vector<std::unique_ptr<IRouter>> m_routers;
    std::deque<CallId> m_queue;
    std::map<CallId, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    Totals m_totals;
    double m_work = 0;
};

} // namespace ivyspar
