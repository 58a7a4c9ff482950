#include "bench/controlbench.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "bench/processusage.h"
#include "standins/demo/loadsummary.h"
#include "standins/deployment/blockinghttp.h"
#include "standins/deployment/deployment.h"
#include "standins/deployment/generatedfiles.h"
#include "standins/load/loadrunner.h"
#include "standins/options.h"

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t DOMAINS = 6;
/// Hosts of each of the two services in the measurement of calls.
constexpr std::uint32_t SERVERS = 2;
constexpr std::size_t LOAD_THREADS = 2;
constexpr Duration SETTLE = std::chrono::seconds(4);
constexpr Duration WINDOW = std::chrono::seconds(10);
constexpr Duration OPERATOR_TIMEOUT = std::chrono::seconds(5);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The sum of a metric's lines.
double readMetric(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        if (line.rfind(name + ' ', 0) == 0 || line.rfind(name + '{', 0) == 0) {
            sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return sum;
}

/// Means over the daemons of a deployment.
struct DaemonMeans
{
    double processorShare = 0;
    double residentKb = 0;
    double anonymousKb = 0;
    double sentBytesPerSecond = 0;
    double framesPerSecond = 0;
    double links = 0;
};

struct Sample
{
    ProcessUsage usage;
    double bytes = 0;
    double frames = 0;
    double links = 0;
};

std::vector<Sample> takeSamples(Deployment &deployment)
{
    std::vector<Sample> samples;
    for (const DeployedHost &host : deployment.hosts()) {
        const auto answer = exchangeBlocking(
            host.operators, HttpRequest{ "GET", "/metrics", {}, {} }, OPERATOR_TIMEOUT);
        const std::string text = answer ? answer->body : "";
        Sample sample;
        sample.bytes = readMetric(text, "ivyspar_peer_bytes_total{direction=\"sent\"}");
        sample.frames = readMetric(text, "ivyspar_peer_frames_total{direction=\"sent\"}");
        sample.links = readMetric(text, "ivyspar_peer_links");
        sample.usage = readUsage(host.process.pid());
        samples.push_back(sample);
    }
    return samples;
}

DaemonMeans compare(const std::vector<Sample> &before, const std::vector<Sample> &after,
                    double length)
{
    DaemonMeans means;
    const auto count = static_cast<double>(before.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        means.processorShare +=
            seconds(after[i].usage.processor - before[i].usage.processor) / length / count;
        means.residentKb += after[i].usage.residentKb / count;
        means.anonymousKb += after[i].usage.anonymousKb / count;
        means.sentBytesPerSecond += (after[i].bytes - before[i].bytes) / length / count;
        means.framesPerSecond += (after[i].frames - before[i].frames) / length / count;
        means.links += after[i].links / count;
    }
    return means;
}

Json toRecord(const char *kind, std::uint32_t daemons, double callsPerDaemon,
              const DaemonMeans &means)
{
    return Json{ { "kind", kind },
                 { "daemons", daemons },
                 { "calls_per_second_per_daemon", callsPerDaemon },
                 { "processor_share", means.processorShare },
                 { "resident_kb", means.residentKb },
                 { "anonymous_kb", means.anonymousKb },
                 { "peer_bytes_sent_per_second", means.sentBytesPerSecond },
                 { "peer_frames_sent_per_second", means.framesPerSecond },
                 { "links", means.links } };
}

class ControlBench
{
public:
    explicit ControlBench(const Options &options)
        : m_options(options)
    {
    }

    int run()
    {
        m_folder = (std::filesystem::temp_directory_path() / "ivyspar-control-XXXXXX").string();
        if (!mkdtemp(m_folder.data())) {
            std::perror("control: mkdtemp");
            return 1;
        }
        bool isDone = true;
        for (const std::uint32_t daemons : { 4U, 16U, 64U, 128U }) {
            if (daemons <= m_options.number("most", 64)) {
                isDone = measureIdle(daemons) && isDone;
            }
        }
        isDone = measureCalls(m_options.number("least_rate", 0)) && isDone;
        std::filesystem::remove_all(m_folder);
        if (m_options.has("json")) {
            std::ofstream(m_options.text("json", "")) << m_records.dump(1) << '\n';
        }
        return isDone ? 0 : 1;
    }

private:
    DeploymentOptions makeOptions(const CallGraph &graph)
    {
        DeploymentOptions options;
        options.binary = m_options.text("binary", "build/ivyspar");
        options.labBinary = m_options.text("lab", "build/ivyspar-lab");
        options.folder = m_folder + '/' + graph.deployment + '-' + std::to_string(m_records.size());
        std::filesystem::create_directories(options.folder);
        writeConfigurationFiles(graph, options.folder);
        options.inventoryFile = options.folder + "/inventory.toml";
        options.rulesFile = options.folder + "/rules.toml";
        return options;
    }

    bool start(Deployment &deployment) const
    {
        std::string error;
        if (!deployment.start(error)) {
            std::fprintf(stderr, "control: %s (outputs in %s)\n", error.c_str(), m_folder.c_str());
            return false;
        }
        std::this_thread::sleep_for(SETTLE);
        return true;
    }

    void add(Json record)
    {
        std::printf("%s\n", record.dump().c_str());
        std::fflush(stdout);
        m_records.push_back(std::move(record));
    }

    bool measureIdle(std::uint32_t daemons)
    {
        const CallGraph graph = makeFlatGraph(daemons, DOMAINS);
        Deployment deployment(makeOptions(graph), graph);
        if (!start(deployment)) {
            return false;
        }
        const auto before = takeSamples(deployment);
        std::this_thread::sleep_for(WINDOW);
        add(toRecord("idle", daemons, 0,
                     compare(before, takeSamples(deployment), seconds(WINDOW))));
        deployment.finish();
        return true;
    }

    /// Each call enters at one of two daemons and is served behind another one of two.
    bool measureCalls(double leastRate)
    {
        const CallGraph graph = makePairGraph(SERVERS);
        Deployment deployment(makeOptions(graph), graph);
        if (!start(deployment)) {
            return false;
        }
        for (const double rate :
             { 40.0, 80.0, 160.0, 320.0, 640.0, 1280.0, 2560.0, 5120.0, 7680.0 }) {
            if (rate < leastRate) {
                continue;
            }
            measureRate(deployment, graph, rate, false);
            measureRate(deployment, graph, rate, true);
        }
        deployment.finish();
        return true;
    }

    static std::vector<Endpoint> frontEndpoints(Deployment &deployment)
    {
        std::vector<Endpoint> endpoints;
        for (const DeployedHost &host : deployment.hosts()) {
            if (host.service == "front") {
                endpoints.push_back(host.caller);
            }
        }
        return endpoints;
    }

    void measureRate(Deployment &deployment, const CallGraph &graph, double rate, bool isDirect)
    {
        LoadPlan plan;
        plan.kinds = { LoadKind{ "standard", graph.nodes.front().call, 1, false } };
        plan.phases = { LoadPhase{ WINDOW, rate * SERVERS, "", 1 } };
        plan.isDirect = isDirect;
        plan.entries = isDirect ? deployment.upstreamEndpoints("work") : frontEndpoints(deployment);
        const auto before = takeSamples(deployment);
        const std::vector<LoadRecord> records = runLoad(graph, plan, LOAD_THREADS);
        Json record = toRecord(isDirect ? "calls-direct" : "calls", 2 * SERVERS, rate,
                               compare(before, takeSamples(deployment), seconds(WINDOW)));
        std::vector<Duration> latencies;
        for (const LoadRecord &one : records) {
            if (one.result == LoadResult::Completed) {
                latencies.push_back(one.latency);
            }
        }
        record["requests"] = records.size();
        record["completed"] = latencies.size();
        record["p50_us"] = quantileOf(latencies, 0.5).count();
        record["p99_us"] = quantileOf(latencies, 0.99).count();
        add(std::move(record));
    }

    const Options &m_options;
    std::string m_folder;
    Json m_records = Json::array();
};

} // namespace

int runControlBench(int argc, char **argv)
{
    const Options options(argc, argv);
    return ControlBench(options).run();
}

} // namespace ivyspar::lab
