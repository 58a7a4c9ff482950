#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <vector>

#include "coordination/admission/gatefactory.h"
#include "coordination/admission/irootadmission.h"
#include "state/internal/seededrandom.h"
#include "state/tests/mocks/simulatedtime.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName BOTTLENECK("prep-planner");
const RootTarget TARGET{ RuleName("tray-history"), ServiceName("weighbridge"), Priority(1) };

constexpr std::size_t GATES = 6;
constexpr std::uint32_t SLOTS = 42;
constexpr std::uint32_t CALLS_IN_BATCH = 4;
constexpr std::uint32_t BATCHES = 2;
constexpr Duration CALL_TIME = milliseconds(61);
/// Work of a call tree before, between and after its calls to the bottleneck service.
constexpr Duration OTHER_WORK = milliseconds(150);
constexpr Duration CALL_TIMEOUT = milliseconds(700);
constexpr Duration WINDOW = seconds(2);

/// Call trees with calls to a bottleneck service behind a few gates, admitted by entry daemons that
/// each see only a part of the requests. A refused caller retries once.
class Model
{
public:
    Model(std::size_t entries, double load)
        : m_rate(load * capacity())
    {
        for (std::size_t i = 0; i < entries; ++i) {
            m_entries.push_back(makeRootAdmission());
        }
        GateOptions options;
        options.limit = LimitKind::Fixed;
        options.hasFloor = false;
        options.slots = SLOTS;
        options.connections = SLOTS;
        for (std::size_t i = 0; i < GATES; ++i) {
            m_gates.push_back(makeGate(options));
        }
        scheduleArrival();
    }

    /// Call trees per second.
    static double capacity()
    {
        const double calls = GATES * SLOTS / toSeconds(CALL_TIME);
        return calls / (BATCHES * CALLS_IN_BATCH);
    }

    /// Returns the call trees that completed in the next window, as a share of the capacity.
    double runWindow()
    {
        m_completed = 0;
        m_time.run(WINDOW);
        return static_cast<double>(m_completed) / (capacity() * toSeconds(WINDOW));
    }

private:
    struct Tree
    {
        std::size_t entry = 0;
        bool isRetry = false;
        DemandShare admittedShare;
        std::uint32_t batch = 0;
        std::uint32_t openCalls = 0;
        bool isFailed = false;
        ServiceUsage usage;
        double loads = 0;
    };
    using TreePtr = std::shared_ptr<Tree>;
    void scheduleArrival()
    {
        const double pause = -std::log(1 - m_random.unit()) / m_rate;
        m_time.schedule(Duration(std::llround(pause * 1e6)), [this] {
            scheduleArrival();
            arrive(m_random.below(m_entries.size()), false);
        });
    }

    void arrive(std::size_t entry, bool isRetry)
    {
        IRootAdmission &admission = *m_entries[entry];
        if (!admission.admit(m_time.now(), TARGET)) {
            if (!isRetry) {
                m_time.schedule(milliseconds(400 + m_random.below(400)),
                                [this] { arrive(m_random.below(m_entries.size()), true); });
            }
            return;
        }
        const TreePtr tree = std::make_shared<Tree>();
        tree->entry = entry;
        tree->admittedShare = admission.admittedShare(m_time.now(), TARGET);
        tree->usage.service = BOTTLENECK;
        tree->usage.calls = 0;
        m_time.schedule(OTHER_WORK, [this, tree] { startBatch(tree); });
    }

    void startBatch(const TreePtr &tree)
    {
        tree->openCalls = CALLS_IN_BATCH;
        for (std::uint32_t i = 0; i < CALLS_IN_BATCH; ++i) {
            const std::size_t gate = m_random.below(GATES);
            const CallId id(++m_lastCall);
            m_calls[id] = tree;
            perform(gate,
                    m_gates[gate]->offer(
                        m_time.now(),
                        { id, Rank(1000), m_time.now() + CALL_TIMEOUT, tree->admittedShare }));
        }
    }

    void perform(std::size_t gate, const GateActions &actions)
    {
        for (const GateAction &action : actions) {
            if (action.verb == GateVerb::Refuse) {
                endCall(gate, action.id, false);
                continue;
            }
            const Duration time = CALL_TIME / 2 + Duration(m_random.below(CALL_TIME.count()));
            m_time.schedule(time, [this, gate, id = action.id, time] {
                const auto next =
                    m_gates[gate]->finish(m_time.now(), id, CallResult::Success, time);
                m_calls[id]->usage.busy += time;
                endCall(gate, id, true);
                perform(gate, next);
            });
        }
    }

    void endCall(std::size_t gate, CallId id, bool isSuccess)
    {
        const TreePtr tree = m_calls[id];
        m_calls.erase(id);
        ++tree->usage.calls;
        tree->loads += m_gates[gate]->load(m_time.now()).demand.value();
        tree->isFailed = tree->isFailed || !isSuccess;
        if (--tree->openCalls > 0) {
            return;
        }
        if (!tree->isFailed && ++tree->batch < BATCHES) {
            m_time.schedule(OTHER_WORK, [this, tree] { startBatch(tree); });
            return;
        }
        m_time.schedule(OTHER_WORK, [this, tree] { end(*tree); });
    }

    void end(Tree &tree)
    {
        tree.usage.load = DemandLoad(static_cast<std::uint32_t>(tree.loads / tree.usage.calls));
        IRootAdmission &admission = *m_entries[tree.entry];
        admission.onAttemptEnd(m_time.now(), TARGET, { tree.usage }, !tree.isFailed);
        admission.onRequestEnd(TARGET, tree.isFailed ? RootResult::Failure : RootResult::Success);
        m_completed += tree.isFailed ? 0 : 1;
    }

    SeededRandom m_random{ 8 };
    SimulatedTime m_time{ TimePoint(seconds(100)) };
    double m_rate;
    std::vector<std::unique_ptr<IRootAdmission>> m_entries;
    std::vector<std::unique_ptr<IGate>> m_gates;
    std::map<CallId, TreePtr> m_calls;
    std::uint64_t m_lastCall = 0;
    std::size_t m_completed = 0;
};

} // namespace

TEST_GROUP(ManyEntries){};

// 1. The demand is up to three times the capacity of a bottleneck service. The requests arrive at
//    95 entry daemons, each of which sees a few per second.
// 2. An entry daemon that weights reports only by their number uses a load that is seconds old. All
//    admit too much, and call trees fail; then all admit too little, long after there is capacity
//    again.
// 3. For eight seconds callers get a quarter less than the capacity: 0.72 of it in the worst two
//    seconds if loads are weighted by the number of reports, 0.86 if weighted by their age.
TEST(ManyEntries, KeepABottleneckServiceSteadilyUtilized)
{
    constexpr int WARM_UP_WINDOWS = 3;
    constexpr int WINDOWS = 20;
    constexpr double MIN_SHARE = 0.8;
    for (const double load : { 1.15, 1.5, 3.0 }) {
        Model model(95, load);
        for (int i = 0; i < WARM_UP_WINDOWS; ++i) {
            model.runWindow();
        }
        for (int i = WARM_UP_WINDOWS; i < WINDOWS; ++i) {
            CHECK(model.runWindow() >= MIN_SHARE);
        }
    }
}

TEST(ManyEntries, ReachTheThroughputOfFewEntries)
{
    constexpr int WARM_UP_WINDOWS = 5;
    constexpr int WINDOWS = 20;
    constexpr double TOLERANCE = 0.03;
    Model few(16, 2);
    Model many(95, 2);
    double ofFew = 0;
    double ofMany = 0;
    for (int i = 0; i < WINDOWS; ++i) {
        const double a = few.runWindow();
        const double b = many.runWindow();
        ofFew += i < WARM_UP_WINDOWS ? 0 : a;
        ofMany += i < WARM_UP_WINDOWS ? 0 : b;
    }
    CHECK(ofMany / ofFew > 1 - TOLERANCE);
}
