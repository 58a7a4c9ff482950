#include "bench/overloadbench.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "bench/runfigures.h"
#include "standins/deployment/blockinghttp.h"
#include "standins/deployment/deployment.h"
#include "standins/load/loadrunner.h"
#include "standins/options.h"
#include "standins/signals.h"

namespace ivyspar::lab {

namespace {

constexpr double TIME_SCALE = 8;
/// Demand before the trigger, as a share of the bottleneck's capacity.
constexpr double BASE_LOAD = 0.7;
constexpr std::size_t LOAD_THREADS = 2;
constexpr Duration CONTROL_TIMEOUT = std::chrono::seconds(10);
constexpr Duration SAMPLE_INTERVAL = std::chrono::milliseconds(500);
constexpr Duration SETTLE = std::chrono::milliseconds(700);
constexpr char EVERYTHING_OFF[] =
    "admission,rank,floor,doomed,budget,retry-tokens,routing,hedging,cancel";

/// A deployment with certain policies switched off, and the experiments to run on it in turn.
struct Job
{
    std::string policy;
    std::string ablated;
    std::uint64_t seed = 1;
    std::vector<Experiment> experiments;
};

struct BenchOptions
{
    std::string binary;
    std::string labBinary;
    std::string examples;
    std::string only;
    RunTimes times;
    std::size_t parallel = 3;
    bool isVerbose = false;
};

double baseRate(const CallGraph &graph, const std::vector<LoadKind> &kinds)
{
    double weights = 0;
    double cost = 0;
    for (const LoadKind &kind : kinds) {
        weights += kind.weight;
        cost += kind.weight
            * std::chrono::duration<double>(bottleneckTime(graph, kind.call, {})).count();
    }
    return BASE_LOAD * bottleneckSlots(graph) / (cost / weights);
}

LoadPlan makePlan(const Experiment &experiment, const CallGraph &graph, const RunTimes &times,
                  std::uint64_t seed)
{
    LoadPlan plan;
    plan.kinds = makeBenchKinds();
    const double rate = baseRate(graph, plan.kinds);
    plan.phases = { LoadPhase{ times.before, rate, "", 1 },
                    LoadPhase{ times.trigger, rate * experiment.demand, experiment.floodClass,
                               experiment.floodFactor },
                    LoadPhase{ times.after, rate, "", 1 } };
    plan.callers = experiment.callers;
    plan.seed = seed;
    return plan;
}

/// Runs the experiments of one job on a deployment of its own.
class JobRunner
{
public:
    JobRunner(const BenchOptions &options, const Job &job, std::string folder)
        : m_options(options)
        , m_job(job)
        , m_folder(std::move(folder))
        , m_graph(makeBenchGraph(TIME_SCALE))
    {
    }

    std::vector<RunFigures> run()
    {
        DeploymentOptions options;
        options.binary = m_options.binary;
        options.labBinary = m_options.labBinary;
        options.folder = m_folder;
        options.inventoryFile = m_options.examples + "/tallowood/inventory.toml";
        options.rulesFile = m_options.examples + "/tallowood/rules.toml";
        options.hasLog = false;
        options.upstreamFlags = { "--scale=" + std::to_string(TIME_SCALE),
                                  "--seed=" + std::to_string(m_job.seed) };
        if (!m_job.ablated.empty()) {
            options.daemonFlags = { "--ablate=" + m_job.ablated };
        }
        Deployment deployment(options, m_graph);
        std::string error;
        if (!deployment.start(error)) {
            std::fprintf(stderr, "bench: %s (outputs in %s)\n", error.c_str(), m_folder.c_str());
            return {};
        }
        std::vector<RunFigures> runs;
        for (const Experiment &experiment : m_job.experiments) {
            runs.push_back(runExperiment(deployment, experiment));
        }
        deployment.finish();
        return runs;
    }

private:
    RunFigures runExperiment(Deployment &deployment, const Experiment &experiment)
    {
        post(deployment, "/reset", "");
        LoadPlan plan = makePlan(experiment, m_graph, m_options.times, m_job.seed);
        plan.entries = deployment.callerEndpoints();
        std::vector<LoadRecord> records;
        std::thread sampler([&] { sampleGates(deployment); });
        std::thread load([&] { records = runLoad(m_graph, plan, LOAD_THREADS); });
        std::this_thread::sleep_for(m_options.times.before);
        apply(deployment, experiment.start);
        std::this_thread::sleep_for(m_options.times.trigger);
        apply(deployment, experiment.end);
        load.join();
        sampler.join();
        std::this_thread::sleep_for(SETTLE);
        RunFigures figures = computeFigures(experiment, m_graph, plan.kinds, m_options.times,
                                            records, fetchExecutions(deployment));
        if (m_options.isVerbose) {
            printTroubles(records, plan.kinds);
        }
        figures.policy = m_job.policy;
        figures.seed = m_job.seed;
        return figures;
    }

    /// What the gates of the bottleneck report, twice a second.
    void sampleGates(Deployment &deployment) const
    {
        const Duration whole =
            m_options.times.before + m_options.times.trigger + m_options.times.after;
        for (Duration at{ 0 }; m_options.isVerbose && at < whole; at += SAMPLE_INTERVAL) {
            std::string line;
            for (const DeployedHost &host : deployment.hosts()) {
                if (host.service == BOTTLENECK) {
                    line += "  " + describeGate(host.operators);
                }
            }
            std::printf("%5.1f s%s\n", std::chrono::duration<double>(at).count(), line.c_str());
            std::this_thread::sleep_for(SAMPLE_INTERVAL);
        }
    }

    /// Running + waiting / limit, and the priority of the floor.
    static std::string describeGate(const Endpoint &operators)
    {
        const auto answer =
            exchangeBlocking(operators, HttpRequest{ "GET", "/status", {}, {} }, CONTROL_TIMEOUT);
        const nlohmann::json status =
            answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
        std::string text;
        for (const nlohmann::json &gate : status.value("gates", nlohmann::json::array())) {
            constexpr unsigned PRIORITY_SHIFT = 24;
            text += std::to_string(gate.value("in_flight", 0U)) + '+'
                + std::to_string(gate.value("queued", 0U)) + '/'
                + std::to_string(gate.value("limit", 0U)) + " f"
                + std::to_string(gate.value("floor", 0U) >> PRIORITY_SHIFT);
        }
        return text;
    }

    /// Why requests failed, in each part of the run.
    void printTroubles(const std::vector<LoadRecord> &records,
                       const std::vector<LoadKind> &kinds) const
    {
        std::map<std::string, std::size_t> counts;
        for (const LoadRecord &record : records) {
            if (record.result == LoadResult::Completed) {
                continue;
            }
            const Duration triggerEnd = m_options.times.before + m_options.times.trigger;
            const char *part = record.intended < m_options.times.before ? "before "
                : record.intended < triggerEnd                          ? "trigger "
                                                                        : "after ";
            ++counts[part + kinds.at(record.kind).className + ' ' + record.trouble];
        }
        for (const auto &[trouble, count] : counts) {
            std::printf("%8zu %s%s", count, trouble.c_str(), trouble.back() == '\n' ? "" : "\n");
        }
    }

    static void post(Deployment &deployment, const std::string &target, const std::string &body)
    {
        const HttpRequest request{ "POST", target, {}, body };
        if (!exchangeBlocking(deployment.upstreamControl(), request, CONTROL_TIMEOUT)) {
            std::fprintf(stderr, "bench: the stand-in upstreams do not answer\n");
        }
    }

    static void apply(Deployment &deployment, const std::vector<BehaviourChange> &changes)
    {
        for (const BehaviourChange &change : changes) {
            post(deployment, "/behaviour?server=" + change.servers, change.json);
        }
    }

    static ExecutionCounts fetchExecutions(Deployment &deployment)
    {
        ExecutionCounts counts;
        const auto answer =
            exchangeBlocking(deployment.upstreamControl(),
                             HttpRequest{ "GET", "/executions", {}, {} }, CONTROL_TIMEOUT);
        std::istringstream lines(answer ? answer->body : "");
        std::string service;
        std::string token;
        while (lines >> service >> token) {
            ++counts[token];
        }
        return counts;
    }

    const BenchOptions &m_options;
    const Job &m_job;
    std::string m_folder;
    CallGraph m_graph;
};

std::vector<Experiment> pick(const std::vector<Experiment> &all, const std::string &only)
{
    std::vector<Experiment> picked;
    std::copy_if(
        all.begin(), all.end(), std::back_inserter(picked),
        [&](const Experiment &experiment) { return only.empty() || experiment.name == only; });
    return picked;
}

std::vector<Job> makeJobs(const Options &options, const BenchOptions &bench)
{
    const bool isQuick = options.has("quick");
    const auto seeds = static_cast<std::uint64_t>(options.number("seeds", isQuick ? 2 : 3));
    const std::vector<Experiment> all = pick(makeExperiments(), bench.only);
    std::vector<Job> jobs;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        jobs.push_back(Job{ "full", "", seed, all });
        jobs.push_back(Job{ "none", EVERYTHING_OFF, seed, all });
    }
    if (options.has("no_ablation")) {
        return jobs;
    }
    // In the quick run each policy is switched off where all triggers come together.
    const std::vector<Experiment> ablated = isQuick ? pick(makeExperiments(), "all-at-once") : all;
    for (const char *name : { "admission", "rank", "floor", "doomed", "budget", "retry-tokens",
                              "routing", "hedging", "cancel" }) {
        jobs.push_back(Job{ std::string("without-") + name, name, 1, ablated });
    }
    return jobs;
}

void printTable(const std::vector<RunFigures> &runs, const RunTimes &times)
{
    std::printf("%-16s %-20s %4s %8s %8s %7s %8s %6s %6s %6s\n", "experiment", "policy", "seed",
                "offered", "goodput", "share", "recovery", "att/rq", "max", "wasted");
    for (const RunFigures &run : runs) {
        const std::string recovery =
            run.recoverySeconds ? std::to_string(*run.recoverySeconds).substr(0, 5) : "never";
        std::printf("%-16s %-20s %4llu %8.0f %8.0f %7.3f %8s %6.2f %6u %6.3f\n",
                    run.experiment.c_str(), run.policy.c_str(),
                    static_cast<unsigned long long>(run.seed), run.offered, run.goodput,
                    run.goodputShare, recovery.c_str(), run.attemptsPerRequest, run.maxAttempts,
                    run.wastedShare);
    }
    std::printf("\nShare of the requests due that completed, a quarter of a second a character; | "
                "start and end of the trigger\n");
    for (const RunFigures &run : runs) {
        std::printf("%-16s %-20s %s\n", run.experiment.c_str(), run.policy.c_str(),
                    toChart(run, times).c_str());
    }
}

std::vector<RunFigures> runJobs(const BenchOptions &options, const std::vector<Job> &jobs,
                                const std::string &folder)
{
    std::atomic<std::size_t> next{ 0 };
    std::mutex mutex;
    std::vector<RunFigures> runs;
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < options.parallel; ++i) {
        workers.emplace_back([&] {
            for (std::size_t at = next++; at < jobs.size(); at = next++) {
                const std::string jobFolder = folder + '/' + std::to_string(at);
                std::filesystem::create_directories(jobFolder);
                std::vector<RunFigures> figures = JobRunner(options, jobs[at], jobFolder).run();
                const std::lock_guard<std::mutex> lock(mutex);
                std::move(figures.begin(), figures.end(), std::back_inserter(runs));
            }
        });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    std::stable_sort(runs.begin(), runs.end(), [](const RunFigures &a, const RunFigures &b) {
        return std::tie(a.experiment, a.policy, a.seed) < std::tie(b.experiment, b.policy, b.seed);
    });
    return runs;
}

} // namespace

int runOverloadBench(int argc, char **argv)
{
    const Options options(argc, argv);
    BenchOptions bench;
    bench.binary = options.text("binary", "build/ivyspar");
    bench.labBinary = options.text("lab", "build/ivyspar-lab");
    bench.examples = options.text("examples", "examples");
    bench.only = options.text("only", "");
    if (options.has("quick")) {
        bench.times = RunTimes{ std::chrono::milliseconds(1500), std::chrono::seconds(3),
                                std::chrono::seconds(3) };
    }
    bench.isVerbose = options.has("verbose");
    bench.parallel = static_cast<std::size_t>(options.number("parallel", 3));
    std::string folder = (std::filesystem::temp_directory_path() / "ivyspar-bench-XXXXXX").string();
    if (!mkdtemp(folder.data())) {
        std::perror("bench: mkdtemp");
        return 1;
    }
    const std::vector<RunFigures> runs = runJobs(bench, makeJobs(options, bench), folder);
    printTable(runs, bench.times);
    if (options.has("json")) {
        std::ofstream(options.text("json", "")) << toJson(runs);
    }
    if (!bench.isVerbose) {
        std::filesystem::remove_all(folder);
    }
    return runs.empty() ? 1 : 0;
}

} // namespace ivyspar::lab
