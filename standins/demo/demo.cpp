#include "standins/demo/demo.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <thread>

#include "standins/demo/loadsummary.h"
#include "standins/deployment/blockinghttp.h"
#include "standins/deployment/deployment.h"
#include "standins/load/deploymentload.h"
#include "standins/load/loadrunner.h"
#include "standins/options.h"
#include "standins/signals.h"

namespace ivyspar::lab {

namespace {

constexpr Duration CONTROL_TIMEOUT = std::chrono::seconds(5);
constexpr double MEASURED_RATE = 100;
constexpr int EXIT_INTERRUPTED = 130;

struct AddedTime
{
    Duration directP50{ 0 };
    Duration directP99{ 0 };
    Duration throughP50{ 0 };
    Duration throughP99{ 0 };
};

std::vector<Duration> latenciesOf(const std::vector<LoadRecord> &records)
{
    std::vector<Duration> latencies;
    for (const LoadRecord &record : records) {
        if (record.result == LoadResult::Completed) {
            latencies.push_back(record.latency);
        }
    }
    return latencies;
}

/// A leaf call's time through two daemons and directly at its upstream, without any work there.
AddedTime measureAddedTime(Deployment &deployment, const CallGraph &graph)
{
    const auto setSlowdown = [&](const char *factor) {
        const std::string body = std::string("{\"slowdown\":") + factor + '}';
        (void)exchangeBlocking(deployment.upstreamControl(),
                               HttpRequest{ "POST", "/behaviour", {}, body }, CONTROL_TIMEOUT);
    };
    const auto leaf =
        std::find_if(graph.nodes.begin(), graph.nodes.end(), [](const GraphNode &node) {
            return node.calls.empty() && node.call.method == "GET";
        });
    LoadPlan plan;
    plan.kinds = { LoadKind{ "probe", leaf->call, 1, false } };
    plan.phases = { LoadPhase{ std::chrono::seconds(3), MEASURED_RATE, "", 1 } };
    plan.entries = deployment.callerEndpoints();
    setSlowdown("0");
    const auto through = latenciesOf(runLoad(graph, plan, 1));
    plan.isDirect = true;
    plan.entries = deployment.upstreamEndpoints(leaf->call.service);
    const auto direct = latenciesOf(runLoad(graph, plan, 1));
    setSlowdown("1");
    return AddedTime{ quantileOf(direct, 0.5), quantileOf(direct, 0.99), quantileOf(through, 0.5),
                      quantileOf(through, 0.99) };
}

void printTroubles(const std::vector<LoadRecord> &records, const std::vector<LoadKind> &kinds)
{
    for (const LoadRecord &record : records) {
        if (record.result != LoadResult::Completed) {
            const GraphCall &call = kinds.at(record.kind).call;
            std::printf("%s %s%s: %s", call.method.c_str(), call.service.c_str(), call.path.c_str(),
                        record.trouble.c_str());
        }
    }
}

void printTable(const std::string &name, const LoadSummary &summary, const AddedTime &added)
{
    const auto ms = [](Duration d) { return static_cast<double>(d.count()) / 1000.0; };
    std::printf("\n%s\n", name.c_str());
    std::printf("  requests                    %8zu\n", summary.requests);
    std::printf("  whole answers               %8zu\n", summary.completed);
    std::printf("  refused (not run)           %8zu\n", summary.refused);
    for (const auto &[className, count] : summary.refusedByClass) {
        std::printf("    %-24s  %8zu\n", className.c_str(), count);
    }
    std::printf("  failed, timed out           %8zu\n", summary.failed + summary.timedOut);
    std::printf("  another request's answer    %8zu\n", summary.wrong);
    std::printf("  caller attempts, greatest   %8u\n", summary.maxCallerAttempts);
    std::printf("  entry attempts per request  %8.2f\n",
                static_cast<double>(summary.entryAttempts)
                    / static_cast<double>(std::max<std::size_t>(1, summary.requests)));
    std::printf("  one call, direct            p50 %6.3f ms  p99 %6.3f ms\n", ms(added.directP50),
                ms(added.directP99));
    std::printf("  one call, through daemons   p50 %6.3f ms  p99 %6.3f ms\n", ms(added.throughP50),
                ms(added.throughP99));
    std::printf("  added per call              p50 %6.3f ms  p99 %6.3f ms\n",
                ms(added.throughP50 - added.directP50), ms(added.throughP99 - added.directP99));
}

} // namespace

int runDemo(int argc, char **argv)
{
    const Options options(argc, argv);
    const std::string name = options.text("deployment", "tallowood");
    const CallGraph graph = makeDeploymentGraph(name);
    if (graph.nodes.empty()) {
        std::fprintf(stderr, "demo: no deployment %s; try tallowood or bottega\n", name.c_str());
        return 2;
    }
    blockStopSignals();
    std::string folder = (std::filesystem::temp_directory_path() / "ivyspar-demo-XXXXXX").string();
    if (!mkdtemp(folder.data())) {
        std::perror("demo: mkdtemp");
        return 1;
    }
    DeploymentOptions deploymentOptions;
    deploymentOptions.binary = options.text("binary", "build/ivyspar");
    deploymentOptions.labBinary = options.text("lab", "build/ivyspar-lab");
    deploymentOptions.folder = folder;
    deploymentOptions.inventoryFile =
        options.text("examples", "examples") + '/' + name + "/inventory.toml";
    deploymentOptions.rulesFile = options.text("examples", "examples") + '/' + name + "/rules.toml";
    int exitCode = 1;
    {
        Deployment deployment(deploymentOptions, graph);
        std::thread waiter([&] {
            waitForStopSignal();
            if (!deployment.isFinished()) {
                deployment.killAll();
                std::error_code ignored;
                std::filesystem::remove_all(folder, ignored);
                std::_Exit(EXIT_INTERRUPTED);
            }
        });
        std::string error;
        if (!deployment.start(error)) {
            std::fprintf(stderr, "demo: %s (outputs in %s)\n", error.c_str(), folder.c_str());
        } else {
            LoadPlan plan;
            plan.kinds = makeDeploymentKinds(name);
            plan.phases = { LoadPhase{ std::chrono::seconds(4), MEASURED_RATE, "", 1 } };
            plan.callers.attempts = 1;
            plan.entries = deployment.callerEndpoints();
            const std::vector<LoadRecord> records = runLoad(graph, plan, 1);
            printTroubles(records, plan.kinds);
            const LoadSummary summary = summarize(records, plan.kinds);
            const AddedTime added = measureAddedTime(deployment, graph);
            printTable(name, summary, added);
            exitCode = summary.completed == summary.requests && summary.requests > 0 ? 0 : 1;
        }
        deployment.finish();
        stopWaiting(waiter);
    }
    if (exitCode == 0) {
        std::filesystem::remove_all(folder);
    }
    return exitCode;
}

} // namespace ivyspar::lab
