#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/admission/gatefactory.h"
#include "state/internal/seededrandom.h"
#include "state/rank.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t SLOTS = 40;
constexpr Duration WARM_UP = 5s;
constexpr Duration LENGTH = 60s;
/// Of calls that take far longer than the others of their kind.
constexpr double LONG_SHARE = 0.03;
constexpr double LONG_FACTOR = 7;

/// Calls of one rule that arrive at a gate.
struct Kind
{
    const char *name = "";
    int priority = 50;
    int depth = 0;
    Duration objective{ 0 };
    Duration wait{ 0 };
    Duration work{ 0 };
    /// Its part of the offered work.
    double part = 0;
    /// Work varies evenly by up to this part of `work`.
    double spread = 0;
};

struct Call
{
    std::size_t kind = 0;
    TimePoint objective;
    TimePoint deadline;
    Duration work{ 0 };
};

/// What the callers of one kind got.
struct Result
{
    double offered = 0;
    double answered = 0;
    double inTime = 0;

    double answeredShare() const { return answered / offered; }
    double inTimeShare() const { return inTime / offered; }
};

/// Decides which calls start and which are refused.
class IScheduler
{
public:
    virtual ~IScheduler() = default;
    /// Both return the calls to start now.
    virtual std::vector<std::uint64_t> offer(TimePoint now, std::uint64_t id, const Call &call) = 0;
    virtual std::vector<std::uint64_t> finish(TimePoint now, std::uint64_t id, Duration work) = 0;
};

/// The gate of the product.
class GateScheduler : public IScheduler
{
public:
    GateScheduler(const std::vector<Kind> &kinds, QueueOrder order)
        : m_kinds(kinds)
    {
        GateOptions options;
        options.slots = SLOTS;
        options.connections = SLOTS;
        options.limit = LimitKind::Fixed;
        options.order = order;
        m_gate = makeGate(options);
    }

    std::vector<std::uint64_t> offer(TimePoint now, std::uint64_t id, const Call &call) override
    {
        const Kind &kind = m_kinds[call.kind];
        const Priority priority(static_cast<std::uint8_t>(kind.priority));
        const Depth depth(static_cast<std::uint8_t>(kind.depth));
        GateRequest request;
        request.id = CallId(id);
        request.rank = kind.depth > 0 ? makeCommittedRank(priority, depth, RootId(id))
                                      : makeRank(priority, depth, RootId(id));
        request.deadline = call.deadline;
        request.objective = call.objective;
        request.rule = RuleName(kind.name);
        return startsOf(m_gate->offer(now, request));
    }

    std::vector<std::uint64_t> finish(TimePoint now, std::uint64_t id, Duration work) override
    {
        return startsOf(m_gate->finish(now, CallId(id), CallResult::Success, work));
    }

private:
    static std::vector<std::uint64_t> startsOf(const GateActions &actions)
    {
        std::vector<std::uint64_t> starts;
        for (const GateAction &action : actions) {
            if (action.verb == GateVerb::Start) {
                starts.push_back(action.id.value());
            }
        }
        return starts;
    }

    const std::vector<Kind> &m_kinds;
    std::unique_ptr<IGate> m_gate;
};

/// Starts the call with the lowest cost, and refuses the one with the highest.
class CostScheduler : public IScheduler
{
public:
    using Cost = std::function<double(TimePoint now, const Call &call)>;

    CostScheduler(Cost cost, std::size_t maxQueue)
        : m_cost(std::move(cost))
        , m_maxQueue(maxQueue)
    {
    }

    std::vector<std::uint64_t> offer(TimePoint now, std::uint64_t id, const Call &call) override
    {
        m_queue.emplace(id, call);
        std::vector<std::uint64_t> starts = startWaiting(now);
        if (m_queue.size() > m_maxQueue) {
            m_queue.erase(std::max_element(m_queue.begin(), m_queue.end(), byCost(now)));
        }
        return starts;
    }

    std::vector<std::uint64_t> finish(TimePoint now, std::uint64_t /*id*/,
                                      Duration /*work*/) override
    {
        --m_running;
        return startWaiting(now);
    }

private:
    using Queue = std::map<std::uint64_t, Call>;

    std::function<bool(const Queue::value_type &, const Queue::value_type &)>
    byCost(TimePoint now) const
    {
        return [this, now](const Queue::value_type &a, const Queue::value_type &b) {
            return m_cost(now, a.second) < m_cost(now, b.second);
        };
    }

    std::vector<std::uint64_t> startWaiting(TimePoint now)
    {
        for (auto it = m_queue.begin(); it != m_queue.end();) {
            it = it->second.deadline <= now ? m_queue.erase(it) : std::next(it);
        }
        std::vector<std::uint64_t> starts;
        while (m_running < SLOTS && !m_queue.empty()) {
            const auto first = std::min_element(m_queue.begin(), m_queue.end(), byCost(now));
            starts.push_back(first->first);
            m_queue.erase(first);
            ++m_running;
        }
        return starts;
    }

    Cost m_cost;
    std::size_t m_maxQueue;
    Queue m_queue;
    std::uint32_t m_running = 0;
};

/// Offers the kinds to a scheduler for a while. Arrivals and work depend on the seed alone.
std::vector<Result> play(const std::vector<Kind> &kinds, double load, double longShare,
                         std::uint64_t seed, IScheduler &scheduler)
{
    SeededRandom random(seed);
    const auto unit = [&random] { return (1.0 + double(random.below(1000000))) / 1000001; };
    std::vector<Result> results(kinds.size());
    std::map<std::uint64_t, Call> calls;
    std::multimap<TimePoint, std::uint64_t> ends;
    std::multimap<TimePoint, std::size_t> arrivals;
    const double meanFactor = 1 + longShare * (LONG_FACTOR - 1);
    const auto scheduleNext = [&](TimePoint after, std::size_t kind) {
        const double work = toSeconds(kinds[kind].work) * meanFactor;
        const double perSecond = load * SLOTS * kinds[kind].part / work;
        arrivals.emplace(after + Duration(std::llround(-std::log(unit()) / perSecond * 1e6)), kind);
    };
    const TimePoint start{ 1s };
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        scheduleNext(start, kind);
    }
    std::uint64_t lastId = 0;
    const auto begin = [&](TimePoint now, const std::vector<std::uint64_t> &ids) {
        for (const std::uint64_t id : ids) {
            ends.emplace(now + calls.at(id).work, id);
        }
    };
    while (arrivals.begin()->first < start + LENGTH) {
        const bool isEnd = !ends.empty() && ends.begin()->first <= arrivals.begin()->first;
        if (isEnd) {
            const auto [now, id] = *ends.begin();
            ends.erase(ends.begin());
            const Call call = calls.at(id);
            Result &result = results[call.kind];
            const bool isCounted = call.deadline - kinds[call.kind].wait >= start + WARM_UP;
            result.answered += isCounted && now <= call.deadline ? 1 : 0;
            result.inTime += isCounted && now <= call.objective ? 1 : 0;
            begin(now, scheduler.finish(now, id, call.work));
            continue;
        }
        const auto [now, kind] = *arrivals.begin();
        arrivals.erase(arrivals.begin());
        scheduleNext(now, kind);
        const bool isLong = unit() < longShare;
        const double factor = 1 + kinds[kind].spread * (2 * unit() - 1);
        const double usual = double(kinds[kind].work.count()) * factor;
        const Duration work(std::llround(usual * (isLong ? LONG_FACTOR : 1)));
        const Call call{ kind, now + kinds[kind].objective, now + kinds[kind].wait, work };
        calls.emplace(++lastId, call);
        results[kind].offered += now >= start + WARM_UP ? 1 : 0;
        begin(now, scheduler.offer(now, lastId, call));
    }
    return results;
}

Result sumOf(const std::vector<Result> &results)
{
    Result sum;
    for (const Result &result : results) {
        sum.offered += result.offered;
        sum.answered += result.answered;
        sum.inTime += result.inTime;
    }
    return sum;
}

double weakestOf(const std::vector<Result> &results)
{
    double weakest = 1;
    for (const Result &result : results) {
        weakest = std::min(weakest, result.answeredShare());
    }
    return weakest;
}

/// Starts the call with the least slack, as its known work says; those that cannot be in time last.
double slackOfKnownWork(TimePoint now, const Call &call)
{
    constexpr double LATE = 1000;
    const double slack = toSeconds(call.objective - call.work - now);
    return slack < 0 ? LATE + toSeconds(call.work) : slack;
}

double objectiveOf(TimePoint /*now*/, const Call &call)
{
    return toSeconds(call.objective.time_since_epoch());
}

std::vector<Kind> kindsWith(Duration work)
{
    return { { "notice", 50, 0, 250ms, 1s, work, 0.25 },
             { "log", 50, 0, 600ms, 2500ms, work, 0.25 },
             { "list", 50, 0, 1500ms, 5s, work, 0.25 },
             { "payment", 50, 0, 3s, 5s, work, 0.25 } };
}

/// The work of a call at which the objective of 250 ms leaves a fifth of it for the queue.
constexpr Duration LONG_WORK = 200ms;
constexpr Duration SHORT_WORK = 100ms;
constexpr double LOAD = 1.3;

} // namespace

TEST_GROUP(CallOrder){
    static std::vector<Result> playGate(const std::vector<Kind> &kinds, double load,
                                        double longShare, QueueOrder order,
                                        std::uint64_t seed = 1){ GateScheduler gate(kinds, order);
return play(kinds, load, longShare, seed, gate);
}

static std::vector<Result> playCost(const std::vector<Kind> &kinds, double longShare,
                                    CostScheduler::Cost cost, std::uint64_t seed = 1)
{
    CostScheduler scheduler(std::move(cost), SLOTS);
    return play(kinds, LOAD, longShare, seed, scheduler);
}

static void checkInTime(Duration work, double longShare)
{
    const std::vector<Kind> kinds = kindsWith(work);
    for (const std::uint64_t seed : { 1, 2 }) {
        const double known =
            sumOf(playCost(kinds, longShare, slackOfKnownWork, seed)).inTimeShare();
        const double reached =
            sumOf(playGate(kinds, LOAD, longShare, QueueOrder::Objective, seed)).inTimeShare();
        CHECK_TEXT(reached >= 0.95 * known,
                   (std::to_string(reached) + " of " + std::to_string(known)).c_str());
    }
}
}
;

// The load: 1.3 times the capacity for a minute, four kinds of one priority that take equally long.
TEST(CallOrder, ServesWithinTheObjectiveWhatAnOrderThatKnowsTheWorkDoes)
{
    checkInTime(SHORT_WORK, 0);
    checkInTime(LONG_WORK, 0);
}

// As above; three in a hundred calls take seven times as long, and nothing tells which.
TEST(CallOrder, ServesWithinTheObjectiveWhatAnOrderThatKnowsTheWorkDoesWithLongCalls)
{
    checkInTime(SHORT_WORK, LONG_SHARE);
    checkInTime(LONG_WORK, LONG_SHARE);
}

// As above. Without knowing the work no order can start more than the capacity.
TEST(CallOrder, ServesWithinTheObjectiveNearlyAllThatTheCapacityAllowsWithLongCalls)
{
    for (const Duration work : { SHORT_WORK, LONG_WORK }) {
        const Result sum =
            sumOf(playGate(kindsWith(work), LOAD, LONG_SHARE, QueueOrder::Objective));
        CHECK(sum.inTimeShare() >= 0.95 / LOAD);
    }
}

TEST(CallOrder, ServesMoreWithinTheObjectiveThanByRank)
{
    for (const double longShare : { 0.0, LONG_SHARE }) {
        const std::vector<Kind> kinds = kindsWith(LONG_WORK);
        const Result byRank = sumOf(playGate(kinds, LOAD, longShare, QueueOrder::Rank));
        const Result sum = sumOf(playGate(kinds, LOAD, longShare, QueueOrder::Objective));
        CHECK(sum.inTime > byRank.inTime);
        CHECK(sum.answered >= 0.99 * byRank.answered);
    }
}

TEST(CallOrder, ServesEachKindAtLeastAQuarterOfTheMean)
{
    std::vector<Kind> uneven = kindsWith(SHORT_WORK);
    uneven[3].work = 4 * SHORT_WORK;
    // A kind that can never meet its objective.
    std::vector<Kind> hopeless = kindsWith(SHORT_WORK);
    hopeless[0].work = 3 * SHORT_WORK;
    for (const std::vector<Kind> &kinds : { kindsWith(LONG_WORK), uneven, hopeless }) {
        for (const double load : { LOAD, 3.0 }) {
            const auto results = playGate(kinds, load, LONG_SHARE, QueueOrder::Objective);
            CHECK(weakestOf(results) >= sumOf(results).answeredShare() / 4);
        }
    }

    // Earliest objective first starves the kind with the longest objective.
    const auto byObjective = playCost(kindsWith(SHORT_WORK), 0, objectiveOf);
    CHECK(weakestOf(byObjective) < sumOf(byObjective).answeredShare() / 4);
}

// The load: the inner calls of one kind alone fill the server that a more urgent kind needs too.
TEST(CallOrder, ServesUrgentRequestsNoLessThanInnerCallsOfLessUrgentOnes)
{
    const std::vector<Kind> kinds{ { "notice", 90, 0, 250ms, 1s, SHORT_WORK, 0.3 },
                                   { "status", 50, 1, 1500ms, 5s, SHORT_WORK, 1.1 } };
    for (const double longShare : { 0.0, LONG_SHARE }) {
        const auto results = playGate(kinds, 1, longShare, QueueOrder::Objective);
        CHECK(results[0].answeredShare() >= results[1].answeredShare());
        CHECK(results[0].inTimeShare() >= results[1].inTimeShare());
        // By rank the urgent kind gets what the inner calls leave.
        const auto byRank = playGate(kinds, 1, longShare, QueueOrder::Rank);
        CHECK(byRank[0].answeredShare() < byRank[1].answeredShare());
    }
}

// The load: 1.3 and 3 times the capacity of a server that became so slow that half of the kinds can
// hardly meet their objectives. Late answers must not take the place of answers in time, nor may
// calls be started so late that they time out.
TEST(CallOrder, AnswersNoFewerCallsThanByRankWhenTheServerIsSlow)
{
    std::vector<Kind> kinds = kindsWith(500ms);
    for (Kind &kind : kinds) {
        kind.spread = 0.5;
    }
    for (const double load : { LOAD, 3.0 }) {
        const Result byRank = sumOf(playGate(kinds, load, 0, QueueOrder::Rank));
        const auto results = playGate(kinds, load, 0, QueueOrder::Objective);
        CHECK(sumOf(results).inTime > byRank.inTime);
        CHECK(sumOf(results).answered >= 0.98 * byRank.answered);
        CHECK(weakestOf(results) >= sumOf(results).answeredShare() / 4);
    }
}

// The load: below the capacity. A late answer still has value.
TEST(CallOrder, ServesCallsThatCannotMeetTheirObjectiveWhileThereIsRoom)
{
    std::vector<Kind> kinds = kindsWith(SHORT_WORK);
    kinds[0].work = 3 * SHORT_WORK;
    const auto results = playGate(kinds, 0.7, 0, QueueOrder::Objective);
    CHECK(results[0].answeredShare() >= 0.99);
}

TEST_GROUP(CallOrderOfOneGate)
{
    static constexpr Duration WORK = 20ms;

    TimePoint now{ 1s };
    std::uint64_t lastId = 0;
    std::unique_ptr<IGate> gate;

    /// One slot, which is taken, and a queue of two calls.
    void setup() override
    {
        GateOptions options;
        options.slots = 1;
        options.connections = 1;
        options.initialShare = 1;
        options.minQueue = 2;
        gate = makeGate(options);
        CHECK(offer(50, 0, std::nullopt).size() == 1);
    }

    GateActions offer(int priority, int depth, std::optional<Duration> objective,
                      const char *rule = "a")
    {
        const RootId root(++lastId);
        const Priority level(static_cast<std::uint8_t>(priority));
        const Depth place(static_cast<std::uint8_t>(depth));
        GateRequest request;
        request.id = CallId(lastId);
        request.rank =
            depth > 0 ? makeCommittedRank(level, place, root) : makeRank(level, place, root);
        request.deadline = now + 10s;
        request.rule = RuleName(rule);
        if (objective) {
            request.objective = now + *objective;
        }
        return gate->offer(now, request);
    }

    /// Ends the running call and returns the one that is started.
    GateAction next(std::uint64_t running)
    {
        const GateActions actions = gate->finish(now, CallId(running), CallResult::Success, WORK);
        CHECK_EQUAL(1, actions.size());
        return actions.at(0);
    }
};

TEST(CallOrderOfOneGate, LeastSlackGoesFirstWhileItCanBeMet)
{
    offer(50, 0, 900ms);
    offer(50, 0, 300ms);
    LONGS_EQUAL(2, gate->queuedOnTime());
    const GateAction first = next(1);
    CHECK(first.id == CallId(3));
    CHECK(first.basis.slack == 300ms - WORK);

    offer(50, 0, 2s);
    now += 1s;
    // The call of 900 ms is too late now.
    const GateAction second = next(3);
    CHECK(second.id == CallId(4));
    const GateAction late = next(4);
    CHECK(late.id == CallId(2));
    CHECK(*late.basis.slack < Duration::zero());
}

TEST(CallOrderOfOneGate, PriorityOfTheRootPrecedesWorkAlreadySpent)
{
    offer(50, 2, 300ms);
    offer(90, 0, 900ms);
    const GateActions actions = offer(90, 0, 900ms);
    LONGS_EQUAL(1, actions.size());
    CHECK(actions[0].id == CallId(2));
    CHECK(actions[0].verb == GateVerb::Refuse);
    CHECK(actions[0].verdict.outcome == Outcome::NotRun);
    CHECK(actions[0].basis.rival == CallId(4));
    CHECK(actions[0].basis.isDisplacedByPriority);
    CHECK(next(1).id == CallId(3));
}

TEST(CallOrderOfOneGate, InnerCallsPrecedeNewOnesOfTheirPriority)
{
    offer(50, 0, 30ms);
    offer(50, 1, 900ms);
    CHECK(next(1).id == CallId(3));
}

// Daemons of an older version hand no objective down.
TEST(CallOrderOfOneGate, CallsWithoutObjectiveAreOrderedBetweenTheOthers)
{
    offer(50, 0, std::nullopt);
    offer(50, 0, 900ms);
    CHECK(next(1).id == CallId(3));
    // Can no longer meet its objective.
    offer(50, 0, 1ms);
    CHECK(next(3).id == CallId(2));
    offer(90, 0, 300ms);
    // By its rank the inner call of an older daemon precedes all new calls.
    const GateActions actions = offer(50, 1, std::nullopt);
    CHECK(actions.at(0).id == CallId(4));
    CHECK(next(2).id == CallId(6));
}
