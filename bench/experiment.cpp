#include "bench/experiment.h"

namespace ivyspar::lab {

namespace {

CallerBehaviour hardCallers()
{
    CallerBehaviour callers;
    callers.attempts = 5;
    callers.honoursRetryAfter = false;
    callers.retryDelay = std::chrono::milliseconds(50);
    return callers;
}

CallerBehaviour politeCallers()
{
    CallerBehaviour callers;
    callers.attempts = 2;
    return callers;
}

Experiment makeSurge(const std::string &name, double demand)
{
    Experiment experiment;
    experiment.name = name;
    experiment.demand = demand;
    experiment.callers = hardCallers();
    return experiment;
}

Experiment makeSick(const std::string &name, const std::string &sick, const std::string &well,
                    double healthyShare)
{
    Experiment experiment;
    experiment.name = name;
    experiment.callers = politeCallers();
    experiment.start = { { "prep-planner-1", sick } };
    experiment.end = { { "prep-planner-1", well } };
    experiment.healthyShare = healthyShare;
    return experiment;
}

Experiment makeSlowDeep()
{
    Experiment experiment;
    experiment.name = "slow-deep-5x";
    experiment.callers = politeCallers();
    experiment.start = { { "rescue-desk", R"({"slowdown":5})" },
                         { "weighbridge", R"({"slowdown":5})" } };
    experiment.end = { { "rescue-desk", R"({"slowdown":1})" },
                       { "weighbridge", R"({"slowdown":1})" } };
    experiment.slowdown = { { "rescue-desk", 5 }, { "weighbridge", 5 } };
    return experiment;
}

Experiment makeAllAtOnce()
{
    Experiment experiment = makeSlowDeep();
    experiment.name = "all-at-once";
    experiment.demand = 3;
    experiment.callers = hardCallers();
    return experiment;
}

Experiment makeFlood()
{
    Experiment experiment;
    experiment.name = "browsing-flood";
    experiment.floodClass = "browsing";
    experiment.floodFactor = 10;
    experiment.demand = 5;
    experiment.callers = politeCallers();
    return experiment;
}

Duration timeOf(const CallGraph &graph, const GraphCall &call,
                const std::map<std::string, double> &slowdown)
{
    const GraphNode *node = graph.find(call);
    if (!node) {
        return Duration::zero();
    }
    const auto factor = slowdown.find(call.service);
    Duration total = factor == slowdown.end()
        ? node->serviceTime
        : std::chrono::duration_cast<Duration>(node->serviceTime * factor->second);
    for (const GraphCall &below : node->calls) {
        total += timeOf(graph, below, slowdown);
    }
    return total;
}

} // namespace

std::vector<Experiment> makeExperiments()
{
    constexpr double THREE_OF_FOUR = 0.75;
    return {
        makeSurge("surge-3x", 3),
        makeSurge("surge-10x", 10),
        makeSlowDeep(),
        makeSurge("hard-retries", 1.5),
        makeAllAtOnce(),
        makeSick("sick-slow", R"({"slowdown":10})", R"({"slowdown":1})", THREE_OF_FOUR),
        makeSick("sick-failing", R"({"failShare":1})", R"({"failShare":0})", THREE_OF_FOUR),
        makeSick("sick-misleading", R"({"announcedSlots":150})", R"({"announcedSlots":15})", 1),
        makeFlood(),
    };
}

CallGraph makeBenchGraph(double scale)
{
    CallGraph graph = makeDeploymentGraph("tallowood");
    for (GraphNode &node : graph.nodes) {
        node.serviceTime = std::chrono::duration_cast<Duration>(node.serviceTime * scale);
    }
    return graph;
}

std::vector<LoadKind> makeBenchKinds()
{
    return {
        { "report", { "prep-planner", "GET", "/report" }, 4, false },
        { "browsing", { "prep-planner", "GET", "/menus" }, 4, false },
        { "compliance", { "spoilage-book", "POST", "/disposals" }, 1, false },
    };
}

Duration bottleneckTime(const CallGraph &graph, const GraphCall &call,
                        const std::map<std::string, double> &slowdown)
{
    if (call.service != BOTTLENECK) {
        return Duration::zero();
    }
    return timeOf(graph, call, slowdown);
}

double bottleneckSlots(const CallGraph &graph)
{
    for (const GraphService &service : graph.services) {
        if (service.name == BOTTLENECK) {
            return double(service.slots) * service.servers;
        }
    }
    return 0;
}

} // namespace ivyspar::lab
