#include "bench/gatebench.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "bench/gatesimulation.h"

namespace ivyspar::lab {

namespace {

constexpr int DEFAULT_SEEDS = 3;

struct Scenario
{
    std::string name;
    UpstreamModel upstream;
    LoadProfile profile;
};

struct Variant
{
    std::string name;
    GateOptions options;
    bool isFloorUsed = true;
};

std::vector<Scenario> makeScenarios()
{
    std::vector<Scenario> scenarios(10);
    scenarios[0].name = "3x";
    scenarios[1].name = "10x";
    scenarios[1].profile.triggerLoad = 10;
    scenarios[2].name = "5x-slow";
    scenarios[2].profile.triggerLoad = 0.8;
    scenarios[2].profile.slowdown = 5;
    scenarios[3].name = "3x+slow";
    scenarios[3].profile.slowdown = 5;
    scenarios[4].name = "half-workers";
    scenarios[4].upstream.workers = 40;
    scenarios[5].name = "contention";
    scenarios[5].upstream.knee = 30;
    scenarios[5].profile.end = 34; // Some policies need long to recover.
    scenarios[6].name = "15-slots";
    scenarios[6].upstream.announcedSlots = 15;
    scenarios[6].upstream.workers = 15;
    scenarios[7].name = "300-slots";
    scenarios[7].upstream.announcedSlots = 300;
    scenarios[7].upstream.workers = 300;
    scenarios[8].name = "variable";
    scenarios[8].upstream.fixedShare = 0;
    scenarios[9].name = "variable+slow";
    scenarios[9].upstream.fixedShare = 0;
    scenarios[9].profile.slowdown = 5;
    return scenarios;
}

template <typename Change> Variant makeVariant(const char *name, Change change)
{
    Variant variant;
    variant.name = name;
    change(variant);
    return variant;
}

std::vector<Variant> makeVariants()
{
    return {
        makeVariant("full", [](Variant &) {}),
        makeVariant("limit=fixed", [](Variant &v) { v.options.limit = LimitKind::Fixed; }),
        makeVariant("limit=aimd", [](Variant &v) { v.options.limit = LimitKind::Aimd; }),
        makeVariant("limit=gradient", [](Variant &v) { v.options.limit = LimitKind::Gradient; }),
        makeVariant("limit=probing", [](Variant &v) { v.options.limit = LimitKind::Probing; }),
        makeVariant("order=fifo", [](Variant &v) { v.options.order = QueueOrder::Fifo; }),
        makeVariant("order=newest", [](Variant &v) { v.options.order = QueueOrder::Newest; }),
        makeVariant("wait=0.1", [](Variant &v) { v.options.queueWait = 0.1; }),
        makeVariant("wait=0.25", [](Variant &v) { v.options.queueWait = 0.25; }),
        makeVariant("wait=0.5", [](Variant &v) { v.options.queueWait = 0.5; }),
        makeVariant("wait=2", [](Variant &v) { v.options.queueWait = 2; }),
        makeVariant("wait=1", [](Variant &v) { v.options.queueWait = 1; }),
        makeVariant("no-doomed", [](Variant &v) { v.options.isDoomedDropped = false; }),
        makeVariant("hold=1", [](Variant &v) { v.options.timedOutHold = 1; }),
        makeVariant("no-hold", [](Variant &v) { v.options.timedOutHold = 0; }),
        makeVariant("no-floor", [](Variant &v) { v.isFloorUsed = false; }),
        makeVariant("margin=0.02", [](Variant &v) { v.options.floorMargin = 0.02; }),
        makeVariant("margin=0.3", [](Variant &v) { v.options.floorMargin = 0.3; }),
        makeVariant("none",
                    [](Variant &v) {
                        v.options.limit = LimitKind::Fixed;
                        v.options.order = QueueOrder::Fifo;
                        v.options.isQueueBounded = false;
                        v.options.isDoomedDropped = false;
                        v.options.timedOutHold = 0;
                        v.isFloorUsed = false;
                    }),
    };
}

/// Means over the runs; the worst run counts for the recovery and the high class.
struct Row
{
    double goodput = 0;
    double recovery = 0;
    double wasted = 0;
    double arrivals = 0;
    double floorChanges = 0;
    double highP99 = 0;
    double highRefused = 0;
    double lowDone = 0;
    std::uint32_t mostInFlight = 0;
};

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

Row measure(const Scenario &scenario, const Variant &variant, int seeds)
{
    Row row;
    for (int seed = 1; seed <= seeds; ++seed) {
        LoadProfile profile = scenario.profile;
        profile.floorDelay = variant.isFloorUsed ? profile.floorDelay : -1;
        GateSimulation simulation(variant.options, scenario.upstream, profile,
                                  static_cast<std::uint64_t>(seed));
        const GateFigures figures = simulation.run();
        row.goodput += figures.goodputShare / seeds;
        row.wasted += figures.wastedShare / seeds;
        row.arrivals += figures.arrivalsPerStart / seeds;
        row.floorChanges += figures.floorChanges / seeds;
        row.lowDone += share(figures.low.completed, figures.low.offered) / seeds;
        const bool isNever = figures.recovery < 0 || row.recovery < 0;
        row.recovery = isNever ? -1 : std::max(row.recovery, figures.recovery);
        row.highRefused =
            std::max(row.highRefused, share(figures.high.refused, figures.high.offered));
        const double quiet = std::max(figures.quietHighP99, 1e-9);
        row.highP99 = std::max(row.highP99, figures.high.p99() / quiet);
        row.mostInFlight = std::max(row.mostInFlight, figures.mostInFlight);
    }
    return row;
}

/// The argument after `name`, or an empty text.
std::string optionOf(int argc, char **argv, const std::string &name)
{
    for (int i = 0; i + 1 < argc; ++i) {
        if (argv[i] == name) {
            return argv[i + 1];
        }
    }
    return {};
}

bool matches(const std::string &name, const std::string &wanted)
{
    return wanted.empty() || name == wanted;
}

void printRow(const std::string &name, const Row &row)
{
    std::printf("%-14s %8.3f %9.1f %7.3f %9.2f %7.1f %9.2f %9.4f %6.3f %5u\n", name.c_str(),
                row.goodput, row.recovery, row.wasted, row.arrivals, row.floorChanges, row.highP99,
                row.highRefused, row.lowDone, row.mostInFlight);
}

} // namespace

int runGateBench(int argc, char **argv)
{
    const std::string seedsText = optionOf(argc, argv, "--seeds");
    const int seeds = seedsText.empty() ? DEFAULT_SEEDS : std::max(1, std::atoi(seedsText.c_str()));
    const std::string policy = optionOf(argc, argv, "--policy");
    const std::string wanted = optionOf(argc, argv, "--scenario");
    for (const Scenario &scenario : makeScenarios()) {
        if (!matches(scenario.name, wanted)) {
            continue;
        }
        std::printf("\n%-14s %8s %9s %7s %9s %7s %9s %9s %6s %5s\n", scenario.name.c_str(),
                    "goodput", "recovery", "wasted", "arr/start", "floor/s", "high-p99x",
                    "high-ref", "low", "most");
        for (const Variant &variant : makeVariants()) {
            if (matches(variant.name, policy)) {
                printRow(variant.name, measure(scenario, variant, seeds));
            }
        }
    }
    return 0;
}

} // namespace ivyspar::lab
