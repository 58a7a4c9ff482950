#include "coordination/admission/gatefactory.h"

#include <map>
#include <set>

#include <rapidcheck.h>

#include "state/internal/seededrandom.h"
#include "state/rank.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr Duration SERVICE_TIME = 20ms;

GateOptions optionsFor(std::uint32_t slots)
{
    GateOptions options;
    options.slots = slots;
    options.connections = slots;
    options.initialShare = 1;
    return options;
}

Rank rankOf(int priority, std::uint64_t root)
{
    return makeRank(Priority(static_cast<std::uint8_t>(priority)), Depth(0), RootId(root));
}

/// Drives a gate with random events and checks its actions against a model.
class RandomRun
{
public:
    RandomRun(const GateOptions &options, std::uint64_t seed)
        : m_gate(makeGate(options))
        , m_random(seed)
        , m_ceiling(std::min(options.slots, options.connections))
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            m_now += Duration(m_random.below(4000));
            step();
        }
        // Queued calls end with their deadline at the latest.
        m_now += 1h;
        apply(m_gate->tick(m_now));
        while (!m_running.empty()) {
            finish(*m_running.begin());
        }
    }

    bool exceedsCeiling = false;
    bool hasPriorityInversion = false;
    bool hasDuplicateAction = false;
    std::size_t queued() const { return m_queued.size(); }
    std::uint32_t started = 0;
    /// Verb and call of each action.
    std::vector<std::pair<GateVerb, CallId>> actions;

private:
    void step()
    {
        const std::uint64_t event = m_random.below(20);
        if (event < 10) {
            offer();
        } else if (event < 16 && !m_running.empty()) {
            finish(pick(m_running));
        } else if (event == 16) {
            cancel();
        } else if (event == 17) {
            m_ceiling = static_cast<std::uint32_t>(m_random.below(12));
            apply(m_gate->setCapacity(m_now, m_ceiling, m_ceiling));
        } else {
            apply(m_gate->tick(m_now));
        }
    }

    void offer()
    {
        const std::uint64_t id = ++m_lastId;
        const Rank rank = rankOf(static_cast<int>(m_random.below(3)) * 40, m_random.next());
        m_queued[id] = rank;
        const Duration wait(5000 + m_random.below(200000));
        apply(m_gate->offer(m_now, { CallId(id), rank, m_now + wait }));
    }

    void finish(std::uint64_t id)
    {
        m_running.erase(id);
        const auto result = static_cast<CallResult>(m_random.below(5));
        apply(m_gate->finish(m_now, CallId(id), result, Duration(m_random.below(40000))));
    }

    void cancel()
    {
        const std::uint64_t id = 1 + m_random.below(m_lastId + 1);
        const CancelEffect effect = m_gate->cancel(m_now, CallId(id));
        hasDuplicateAction =
            hasDuplicateAction || (effect == CancelEffect::NotStarted) != (m_queued.erase(id) > 0);
        hasDuplicateAction =
            hasDuplicateAction || (effect == CancelEffect::Started) != (m_running.count(id) > 0);
    }

    void apply(const GateActions &taken)
    {
        for (const GateAction &action : taken) {
            actions.emplace_back(action.verb, action.id);
            const std::uint64_t id = action.id.value();
            const Rank rank = m_queued[id];
            hasDuplicateAction = hasDuplicateAction || m_queued.erase(id) == 0;
            if (action.verb == GateVerb::Start) {
                m_running.insert(id);
                ++started;
                exceedsCeiling = exceedsCeiling || m_running.size() > m_ceiling;
            } else if (action.verdict.reason == Reason::QueueFull) {
                for (const auto &[other, lower] : m_queued) {
                    hasPriorityInversion =
                        hasPriorityInversion || priorityOf(lower) < priorityOf(rank);
                }
            }
        }
    }

    std::uint64_t pick(const std::set<std::uint64_t> &ids)
    {
        return *std::next(ids.begin(), static_cast<std::ptrdiff_t>(m_random.below(ids.size())));
    }

    std::unique_ptr<IGate> m_gate;
    SeededRandom m_random;
    TimePoint m_now{ 1s };
    std::uint32_t m_ceiling;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Rank> m_queued;
    std::set<std::uint64_t> m_running;
};

} // namespace

TEST_GROUP(Gate)
{
    TimePoint now{ 1s };
    std::uint64_t lastId = 0;

    GateActions offer(IGate & gate, int priority, Duration wait = 10s)
    {
        ++lastId;
        return gate.offer(now, { CallId(lastId), rankOf(priority, lastId), now + wait });
    }

    /// Offers calls until the last one is queued, and returns its id.
    CallId fill(IGate & gate, int priority, Duration wait = 10s)
    {
        while (!offer(gate, priority, wait).empty()) { }
        return CallId(lastId);
    }

    static bool has(const GateActions &actions, GateVerb verb, CallId id)
    {
        return std::any_of(actions.begin(), actions.end(), [&](const GateAction &action) {
            return action.verb == verb && action.id == id;
        });
    }

    bool isStarted(IGate & gate, int priority, Duration wait = 10s)
    {
        const GateActions actions = offer(gate, priority, wait);
        return has(actions, GateVerb::Start, CallId(lastId));
    }

    bool isRefused(IGate & gate, int priority, Duration wait = 10s)
    {
        const GateActions actions = offer(gate, priority, wait);
        return has(actions, GateVerb::Refuse, CallId(lastId));
    }

    /// Offers 25 times the capacity of the gate for two seconds.
    void overload(IGate & gate)
    {
        std::map<TimePoint, CallId> ends;
        const auto note = [&](const GateActions &actions) {
            for (const GateAction &action : actions) {
                if (action.verb == GateVerb::Start) {
                    ends[now + SERVICE_TIME + Duration(action.id.value() % 1000)] = action.id;
                }
            }
        };
        for (const TimePoint end = now + 2s; now < end; now += 100us) {
            while (!ends.empty() && ends.begin()->first <= now) {
                const CallId id = ends.begin()->second;
                ends.erase(ends.begin());
                note(gate.finish(now, id, CallResult::Success, SERVICE_TIME));
            }
            note(offer(gate, 50, 500ms));
        }
        while (!ends.empty()) {
            const auto [at, id] = *ends.begin();
            ends.erase(ends.begin());
            now = std::max(now, at);
            note(gate.finish(now, id, CallResult::Success, SERVICE_TIME));
        }
    }
};

TEST(Gate, NeverExceedsTheAnnouncedCapacityAndAnswersEachCallOnce)
{
    const bool holds = rc::check([](std::uint64_t seed) {
        for (const LimitKind limit :
             { LimitKind::Fixed, LimitKind::Aimd, LimitKind::Gradient, LimitKind::Probing }) {
            GateOptions options = optionsFor(8);
            options.limit = limit;
            RandomRun run(options, seed);
            run.run(400);
            RC_ASSERT(!run.exceedsCeiling);
            RC_ASSERT(!run.hasDuplicateAction);
            RC_ASSERT(run.queued() == 0U);
            RC_ASSERT(run.started > 0U);
        }
    });
    CHECK(holds);
}

TEST(Gate, FullQueueRefusesNoCallWhileOneOfLowerPriorityIsQueued)
{
    const bool holds = rc::check([](std::uint64_t seed) {
        RandomRun run(optionsFor(8), seed);
        run.run(400);
        RC_ASSERT(!run.hasPriorityInversion);
    });
    CHECK(holds);

    // The same check fails if the queue is not ordered by rank.
    GateOptions fifo = optionsFor(8);
    fifo.order = QueueOrder::Fifo;
    RandomRun run(fifo, 1);
    run.run(2000);
    CHECK(run.hasPriorityInversion);
}

TEST(Gate, CallsWithoutObjectivesAreOrderedByRank)
{
    const bool holds = rc::check([](std::uint64_t seed) {
        GateOptions byRank = optionsFor(8);
        byRank.order = QueueOrder::Rank;
        RandomRun expected(byRank, seed);
        expected.run(400);
        RandomRun run(optionsFor(8), seed);
        run.run(400);
        RC_ASSERT(run.actions == expected.actions);
    });
    CHECK(holds);
}

TEST(Gate, CallOfHigherRankDisplacesTheLowestQueuedCall)
{
    GateOptions options = optionsFor(1);
    options.minQueue = 1;
    options.queueWait = 1;
    const auto gate = makeGate(options);
    const CallId lowest = fill(*gate, 10);
    const GateActions actions = offer(*gate, 90);
    LONGS_EQUAL(1, actions.size());
    CHECK(has(actions, GateVerb::Refuse, lowest));
    CHECK(actions[0].verdict.outcome == Outcome::NotRun);
    CHECK(isRefused(*gate, 10));
}

// A queued call leaves the queue when its remaining time falls below the mean service time: its
// caller is refused immediately instead of getting a late answer, and the slot goes to a call that
// can still complete in time.
TEST(Gate, DoomedCallIsRemovedFromTheQueue)
{
    for (const bool isDropped : { true, false }) {
        GateOptions options = optionsFor(1);
        options.isDoomedDropped = isDropped;
        const auto gate = makeGate(options);
        fill(*gate, 50);
        const CallId running(lastId - 1);
        offer(*gate, 50, 30ms);
        const CallId urgent(lastId);
        CHECK((gate->nextTick() <= now + 11ms) == isDropped);
        now += 11ms;
        CHECK_EQUAL(isDropped, has(gate->tick(now), GateVerb::Refuse, urgent));
        gate->finish(now, running, CallResult::Success, SERVICE_TIME);
    }
}

// After a period of slow calls the mean service time exceeds every deadline. If it alone decided,
// all calls would be refused as doomed, none would run, and the mean would never recover.
TEST(Gate, IdleGateAdmitsCallsRegardlessOfItsMeanServiceTime)
{
    const auto gate = makeGate(optionsFor(4));
    for (int i = 0; i < 200; ++i) {
        CHECK(isStarted(*gate, 50));
        gate->finish(now, CallId(lastId), CallResult::Success, 10s);
    }
    CHECK(isStarted(*gate, 10, 100ms));
    CHECK(isRefused(*gate, 10, 100ms));
}

// The upstream may still work on a call that timed out. If its slot were reused immediately, calls
// would queue inside the upstream.
TEST(Gate, TimedOutCallKeepsItsSlotForABoundedTime)
{
    for (const double hold : { 1.0, 0.0 }) {
        GateOptions options = optionsFor(1);
        options.timedOutHold = hold;
        options.maxHold = 50ms;
        const auto gate = makeGate(options);
        const CallId queued = fill(*gate, 50);
        const CallId running(queued.value() - 1);
        const GateActions atOnce = gate->finish(now, running, CallResult::TimedOut, 10s);
        CHECK_EQUAL(hold == 0.0, has(atOnce, GateVerb::Start, queued));
        if (hold > 0) {
            CHECK(gate->nextTick() <= now + 50ms);
            now += 50ms;
            CHECK(has(gate->tick(now), GateVerb::Start, queued));
        }
    }
}

TEST(Gate, CancelledCallIsRemovedFromTheQueue)
{
    const auto gate = makeGate(optionsFor(1));
    const CallId queued = fill(*gate, 50);
    const CallId running(queued.value() - 1);
    CHECK(gate->cancel(now, queued) == CancelEffect::NotStarted);
    CHECK(gate->cancel(now, queued) == CancelEffect::Unknown);
    CHECK(gate->cancel(now, running) == CancelEffect::Started);
    CHECK(gate->finish(now, running, CallResult::Success, SERVICE_TIME).empty());
    LONGS_EQUAL(0, gate->load(now).inFlight);
}

TEST(Gate, DrainingRefusesNewCallsAndCompletesTheOthers)
{
    const auto gate = makeGate(optionsFor(1));
    const CallId queued = fill(*gate, 50);
    gate->setDraining(true);
    const GateActions refused = offer(*gate, 100);
    CHECK(refused.at(0).verdict.reason == Reason::Draining);
    CHECK(gate->load(now).draining);
    const CallId running(queued.value() - 1);
    CHECK(has(gate->finish(now, running, CallResult::Success, SERVICE_TIME), GateVerb::Start,
              queued));
}

// During an overload entry daemons refuse all calls below the floor, so the gate does not see them.
// Unless the floor falls by itself afterwards, these calls are refused for good.
TEST(Gate, FloorReturnsToZeroAfterAnOverload)
{
    const auto gate = makeGate(optionsFor(8));
    overload(*gate);
    CHECK(gate->load(now).floor > Rank());

    const GateOptions defaults;
    const TimePoint bound = now + (defaults.floorQuietWindows + 2) * defaults.floorWindow;
    // Without ticks the floor stays, so the check below is not trivially true.
    CHECK(gate->load(bound).floor > Rank());
    while (gate->nextTick() < bound) {
        now = std::max(now, gate->nextTick());
        gate->tick(now);
    }
    CHECK(gate->load(now).floor == Rank());
    CHECK(gate->nextTick() == TimePoint::max());
    CHECK(isStarted(*gate, 0));
}

TEST(Gate, FloorIsNeverRaisedIfDisabled)
{
    GateOptions options = optionsFor(8);
    options.hasFloor = false;
    const auto gate = makeGate(options);
    overload(*gate);
    CHECK(gate->load(now).floor == Rank());
}

TEST(Gate, LimitStartsAtTheInitialShareAndGrows)
{
    GateOptions options = optionsFor(80);
    options.initialShare = 0.5;
    const auto gate = makeGate(options);
    LONGS_EQUAL(40, gate->load(now).limit);
    for (int i = 0; i < 2000 && gate->load(now).limit < 80; ++i) {
        fill(*gate, 50);
        gate->finish(now, CallId(lastId - gate->load(now).queued), CallResult::Success,
                     SERVICE_TIME);
        now += 1ms;
    }
    LONGS_EQUAL(80, gate->load(now).limit);
}

TEST(Gate, RetryDelaysAreSpread)
{
    const auto gate = makeGate(optionsFor(0));
    std::set<Duration> delays;
    for (int i = 0; i < 1000; ++i) {
        const Duration delay = offer(*gate, 50).at(0).verdict.retryAfter;
        CHECK(delay >= GateOptions().retryAfter);
        CHECK(delay <= 2 * GateOptions().retryAfter);
        delays.insert(delay / 10000);
    }
    CHECK(delays.size() >= 20);
}
