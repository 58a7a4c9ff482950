#include "standins/history/historyrun.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>
#include <utility>

#include "standins/graph/trials.h"
#include "standins/history/faultschedule.h"
#include "standins/history/trial.h"
#include "standins/options.h"

namespace ivyspar::lab {

namespace {

constexpr std::size_t HOSTS = 3;
constexpr std::uint32_t ROUNDS = 24;
constexpr Duration ROUND = std::chrono::milliseconds(80);
constexpr char CRASHER[] = "crasher";

/// Faults that begin or end, by time.
struct Step
{
    Duration at{ 0 };
    Fault fault;
    bool isBegin = false;
};

class HistoryRun
{
public:
    HistoryRun(Trial &trial, const HistoryRunOptions &options)
        : m_trial(trial)
        , m_options(options)
    {
    }

    HistoryRunResult run()
    {
        const std::vector<Fault> faults = makeFaultSchedule(m_options.seed, HOSTS);
        m_result.faults = describe(faults);
        (void)m_trial.setBehaviour("", R"({"slowdown":5})");
        performAll(makeSteps(faults));
        if (!m_trial.isServingAgain("after")) {
            m_result.violations.push_back("not serving after the last fault");
        }
        judge();
        return std::move(m_result);
    }

private:
    static std::vector<Step> makeSteps(const std::vector<Fault> &faults)
    {
        std::vector<Step> steps;
        for (const Fault &fault : faults) {
            steps.push_back({ fault.begin, fault, true });
            steps.push_back({ fault.end, fault, false });
        }
        std::sort(steps.begin(), steps.end(),
                  [](const Step &a, const Step &b) { return a.at < b.at; });
        return steps;
    }

    void performAll(const std::vector<Step> &steps)
    {
        const auto startedAt = std::chrono::steady_clock::now();
        std::size_t next = 0;
        for (std::uint32_t round = 0; round < ROUNDS || next < steps.size(); ++round) {
            if (round < ROUNDS) {
                sendRound(round);
            }
            if (m_isCrasherSent) {
                sendCrasher(round);
            }
            const auto at = ROUND * round;
            std::this_thread::sleep_until(startedAt + at);
            for (; next < steps.size() && steps[next].at <= at; ++next) {
                perform(steps[next]);
            }
        }
    }

    void sendRound(std::uint32_t round)
    {
        const std::string number = std::to_string(round);
        for (std::size_t entry = 0; entry < HOSTS; ++entry) {
            CallerPlan booking = m_trial.planOnce("booking-" + number, entry);
            if (m_options.isWithoutKeys) {
                booking.key.clear();
            }
            booking.pause = ROUND;
            m_trial.callers().send(booking);
            const std::string place = number + '-' + std::to_string(entry);
            m_trial.callers().send(
                m_trial.plan({ "desk", "POST", "/records" }, "record-" + place, entry));
            CallerPlan page = m_trial.plan({ "desk", "GET", "/pages" }, "page-" + place, entry);
            page.attempts = 3;
            page.isRepeatingUnknown = true;
            // Three attempts of the caller with the three that the rule grants to each.
            page.budget = 9;
            m_trial.callers().send(page);
        }
    }

    /// At another entry each time.
    void sendCrasher(std::uint32_t round)
    {
        m_trial.callers().send(m_trial.plan({ "desk", "GET", "/wait/3" }, CRASHER, round));
    }

    void perform(const Step &step)
    {
        DeployedHost &host = m_trial.host(step.fault.host);
        const bool isOn = step.isBegin;
        const auto faults = [&](const char *on, const char *off) {
            (void)m_trial.setLogFaults(isOn ? on : off);
        };
        const auto behaviour = [&](const char *on, const char *off) {
            (void)m_trial.setBehaviour(host.name, isOn ? on : off);
        };
        switch (step.fault.kind) {
        case FaultKind::Kill:
            isOn ? host.process.signal(SIGKILL) : restart(host);
            break;
        case FaultKind::Freeze:
            host.process.signal(isOn ? SIGSTOP : SIGCONT);
            break;
        case FaultKind::LogDown:
            faults(R"({"down":true})", R"({"down":false})");
            break;
        case FaultKind::LogSilent:
            faults(R"({"silent":true})", R"({"silent":false})");
            break;
        case FaultKind::LogSlow:
            faults(R"({"answer_delay_ms":300,"effect_delay_ms":200})",
                   R"({"answer_delay_ms":0,"effect_delay_ms":0})");
            break;
        case FaultKind::AnswersLost:
            faults(R"({"lost_after":6,"lost_before":3})", R"({"lost_after":0,"lost_before":0})");
            break;
        case FaultKind::StaleReads:
            faults(R"({"stale_ms":500})", R"({"stale_ms":0})");
            break;
        case FaultKind::Drain:
            behaviour(R"({"draining":true})", R"({"draining":false})");
            break;
        case FaultKind::Failing:
            behaviour(R"({"failShare":0.5})", R"({"failShare":0})");
            break;
        case FaultKind::Slow:
            behaviour(R"({"slowdown":50})", R"({"slowdown":5})");
            break;
        case FaultKind::Crash:
            behaviour(R"({"downTimeMs":400})", R"({"downTimeMs":2000})");
            if (isOn) {
                (void)m_trial.crash(host.name);
            }
            break;
        case FaultKind::CrashingRequest:
            m_isCrasherSent = isOn;
            (void)m_trial.setBehaviour(
                "", isOn ? R"({"crashToken":"crasher"})" : R"({"crashToken":""})");
            break;
        case FaultKind::RateLimit:
            behaviour(R"({"rateLimits":["0"]})", R"({"rateLimits":[]})");
            break;
        case FaultKind::OddRateLimit:
            behaviour(R"({"rateLimits":["1e9","nan"]})", R"({"rateLimits":[]})");
            break;
        case FaultKind::Leaving:
            behaviour(R"({"statesLeaving":true})", R"({"statesLeaving":false,"downTimeMs":200})");
            if (!isOn) {
                (void)m_trial.crash(host.name);
                behaviour(R"({"downTimeMs":2000})", R"({"downTimeMs":2000})");
            }
            break;
        case FaultKind::Partition:
            m_trial.deployment().separate(isOn ? std::set<std::string>{ host.domain }
                                               : std::set<std::string>{});
            break;
        }
    }

    void restart(DeployedHost &host)
    {
        host.process.wait(std::chrono::seconds(10));
        std::string error;
        if (!m_trial.deployment().restartHost(host, error)) {
            m_result.violations.push_back(error);
        }
    }

    void judge()
    {
        const History history = m_trial.history();
        m_result.actions = history.actions.size();
        m_result.attempts = m_trial.callers().attemptCount();
        m_result.starts = history.starts.size();
        Violations found = checkAll(history, m_trial.graph());
        const Violations accused = checkAccused(history, CRASHER);
        found.insert(found.end(), accused.begin(), accused.end());
        const Violations exceeded = m_trial.noticeViolations();
        found.insert(found.end(), exceeded.begin(), exceeded.end());
        m_result.violations.insert(m_result.violations.end(), found.begin(), found.end());
    }

    Trial &m_trial;
    const HistoryRunOptions &m_options;
    HistoryRunResult m_result;
    bool m_isCrasherSent = false;
};

} // namespace

HistoryRunResult runHistory(const HistoryRunOptions &options)
{
    TrialOptions trialOptions;
    trialOptions.binary = options.binary;
    trialOptions.labBinary = options.labBinary;
    trialOptions.graph = makeTrialGraph(HOSTS);
    trialOptions.hasLinks = true;
    Trial trial(std::move(trialOptions));
    std::string error;
    if (!trial.start(error)) {
        HistoryRunResult result;
        result.violations.push_back(error);
        return result;
    }
    return HistoryRun(trial, options).run();
}

int runHistories(int argc, char **argv)
{
    const Options options(argc, argv);
    HistoryRunOptions run;
    run.binary = options.text("binary", "build/ivyspar");
    run.labBinary = options.text("lab", "build/ivyspar-lab");
    run.isWithoutKeys = options.has("without-keys");
    const auto first = static_cast<std::uint64_t>(options.number("first", 1));
    const auto seeds = static_cast<std::uint64_t>(options.number("seeds", 10));
    std::size_t failed = 0;
    for (run.seed = first; run.seed < first + seeds; ++run.seed) {
        const HistoryRunResult result = runHistory(run);
        std::printf("seed %llu: %s; %zu actions, %zu attempts, %zu starts; faults: %s\n",
                    static_cast<unsigned long long>(run.seed),
                    result.violations.empty() ? "clean" : "VIOLATED", result.actions,
                    result.attempts, result.starts, result.faults.c_str());
        std::printf("%s", join(result.violations).c_str());
        std::fflush(stdout);
        failed += result.violations.empty() ? 0 : 1;
    }
    std::printf("%zu of %llu seeds violated a property\n", failed,
                static_cast<unsigned long long>(seeds));
    return failed == 0 ? 0 : 1;
}

} // namespace ivyspar::lab
