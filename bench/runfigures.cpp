#include "bench/runfigures.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "standins/demo/loadsummary.h"

namespace ivyspar::lab {

namespace {

using Json = nlohmann::json;

constexpr Duration BIN = std::chrono::milliseconds(250);
constexpr double STEADY = 0.95;
constexpr double TAIL = 0.99;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Reads the records of one run.
class FigureReader
{
public:
    FigureReader(const Experiment &experiment, const CallGraph &graph,
                 const std::vector<LoadKind> &kinds, const RunTimes &times,
                 const std::vector<LoadRecord> &records)
        : m_experiment(experiment)
        , m_graph(graph)
        , m_kinds(kinds)
        , m_times(times)
        , m_records(records)
    {
    }

    RunFigures read(const ExecutionCounts &executions)
    {
        m_figures.experiment = m_experiment.name;
        readGoodput();
        readTimeline();
        readRecovery();
        readAttempts(executions);
        readClasses();
        return std::move(m_figures);
    }

private:
    Duration triggerStart() const { return m_times.before; }
    Duration triggerEnd() const { return m_times.before + m_times.trigger; }

    bool isDueInTrigger(const LoadRecord &record) const
    {
        return record.intended >= triggerStart() && record.intended < triggerEnd();
    }

    Duration costOf(const LoadRecord &record) const
    {
        return bottleneckTime(m_graph, m_kinds.at(record.kind).call, m_experiment.slowdown);
    }

    void readGoodput()
    {
        double usedSeconds = 0;
        double askedSeconds = 0;
        std::size_t completed = 0;
        std::size_t offered = 0;
        for (const LoadRecord &record : m_records) {
            if (isDueInTrigger(record)) {
                ++offered;
                askedSeconds += seconds(costOf(record));
            }
            const Duration endedAt = record.intended + record.latency;
            const bool isEndedInTrigger = endedAt >= triggerStart() && endedAt < triggerEnd();
            if (record.result == LoadResult::Completed && isEndedInTrigger) {
                ++completed;
                usedSeconds += seconds(costOf(record));
            }
        }
        const double length = seconds(m_times.trigger);
        const double available = bottleneckSlots(m_graph) * m_experiment.healthyShare * length;
        m_figures.offered = static_cast<double>(offered) / length;
        m_figures.goodput = static_cast<double>(completed) / length;
        const double share = usedSeconds / available;
        m_figures.capacity = share > 0 ? m_figures.goodput / share : 0;
        m_figures.goodputShare = usedSeconds / std::min(available, askedSeconds);
    }

    void readTimeline()
    {
        const Duration whole = triggerEnd() + m_times.after;
        const auto bins = static_cast<std::size_t>(whole / BIN);
        std::vector<std::size_t> due(bins);
        std::vector<std::size_t> completed(bins);
        for (const LoadRecord &record : m_records) {
            const auto bin = std::min(static_cast<std::size_t>(record.intended / BIN), bins - 1);
            ++due[bin];
            completed[bin] += record.result == LoadResult::Completed ? 1 : 0;
        }
        for (std::size_t i = 0; i < bins; ++i) {
            const double share = due[i] > 0 ? double(completed[i]) / double(due[i]) : 1.0;
            m_figures.completedOverTime.push_back(share);
        }
    }

    double shareBefore() const
    {
        const auto first = m_figures.completedOverTime.begin();
        const auto count = static_cast<std::ptrdiff_t>(triggerStart() / BIN);
        double sum = 0;
        for (auto it = first; it != first + count; ++it) {
            sum += *it;
        }
        return sum / static_cast<double>(count);
    }

    /// Requests are judged by when they were due: the share of them that completes does not depend
    /// on how many the random arrivals happened to be.
    void readRecovery()
    {
        const double needed = STEADY * shareBefore();
        const auto end = static_cast<std::size_t>(triggerEnd() / BIN);
        std::size_t recovered = m_figures.completedOverTime.size();
        while (recovered > end && m_figures.completedOverTime[recovered - 1] >= needed) {
            --recovered;
        }
        if (recovered < m_figures.completedOverTime.size()) {
            m_figures.recoverySeconds = seconds(BIN * (recovered - end));
        }
    }

    void readAttempts(const ExecutionCounts &executions)
    {
        std::uint64_t started = 0;
        std::uint64_t useful = 0;
        for (const LoadRecord &record : m_records) {
            const auto found = executions.find(record.token);
            const std::uint32_t count = found == executions.end() ? 0 : found->second;
            started += count;
            m_figures.maxAttempts = std::max(m_figures.maxAttempts, count);
            if (record.result == LoadResult::Completed) {
                useful += countCalls(m_graph, m_kinds.at(record.kind).call);
            }
        }
        m_figures.attemptsPerRequest =
            double(started) / double(std::max<std::size_t>(1, m_records.size()));
        m_figures.wastedShare =
            started > 0 ? 1.0 - double(std::min(useful, started)) / double(started) : 0;
    }

    void readClasses()
    {
        std::map<std::string, std::vector<Duration>> busy;
        std::map<std::string, std::vector<Duration>> quiet;
        for (const LoadRecord &record : m_records) {
            const std::string &className = m_kinds.at(record.kind).className;
            const bool isCompleted = record.result == LoadResult::Completed;
            if (isDueInTrigger(record)) {
                m_figures.completedByClass[className] += isCompleted ? 1 : 0;
                m_figures.refusedByClass[className] += record.result == LoadResult::Refused ? 1 : 0;
            }
            if (isCompleted && isDueInTrigger(record)) {
                busy[className].push_back(record.latency);
            } else if (isCompleted && record.intended < triggerStart()) {
                quiet[className].push_back(record.latency);
            }
        }
        constexpr double MS = 1000.0;
        for (const auto &[className, latencies] : busy) {
            m_figures.p99MsByClass[className] = seconds(quantileOf(latencies, TAIL)) * MS;
        }
        for (const auto &[className, latencies] : quiet) {
            m_figures.quietP99MsByClass[className] = seconds(quantileOf(latencies, TAIL)) * MS;
        }
    }

    const Experiment &m_experiment;
    const CallGraph &m_graph;
    const std::vector<LoadKind> &m_kinds;
    const RunTimes &m_times;
    const std::vector<LoadRecord> &m_records;
    RunFigures m_figures;
};

} // namespace

RunFigures computeFigures(const Experiment &experiment, const CallGraph &graph,
                          const std::vector<LoadKind> &kinds, const RunTimes &times,
                          const std::vector<LoadRecord> &records, const ExecutionCounts &executions)
{
    return FigureReader(experiment, graph, kinds, times, records).read(executions);
}

std::string toJson(const std::vector<RunFigures> &runs)
{
    Json list = Json::array();
    for (const RunFigures &run : runs) {
        Json record;
        record["experiment"] = run.experiment;
        record["policy"] = run.policy;
        record["seed"] = run.seed;
        record["offered"] = run.offered;
        record["capacity"] = run.capacity;
        record["goodput"] = run.goodput;
        record["goodput_share"] = run.goodputShare;
        record["recovery_s"] = run.recoverySeconds ? Json(*run.recoverySeconds) : Json();
        record["attempts_per_request"] = run.attemptsPerRequest;
        record["max_attempts"] = run.maxAttempts;
        record["wasted_share"] = run.wastedShare;
        record["completed"] = run.completedByClass;
        record["refused"] = run.refusedByClass;
        record["p99_ms"] = run.p99MsByClass;
        record["quiet_p99_ms"] = run.quietP99MsByClass;
        record["completed_over_time"] = run.completedOverTime;
        list.push_back(std::move(record));
    }
    return list.dump(1) + '\n';
}

std::string toChart(const RunFigures &run, const RunTimes &times)
{
    const std::string levels = " .:-=+*#";
    const auto start = static_cast<std::size_t>(times.before / BIN);
    const auto end = static_cast<std::size_t>((times.before + times.trigger) / BIN);
    std::string chart;
    for (std::size_t i = 0; i < run.completedOverTime.size(); ++i) {
        if (i == start || i == end) {
            chart += '|';
        }
        const double level = run.completedOverTime[i] * double(levels.size() - 1);
        chart += levels[static_cast<std::size_t>(std::lround(level))];
    }
    return chart;
}

} // namespace ivyspar::lab
