#include "bench/oncebench.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "coordination/once/tests/mocks/oncesimulation.h"
#include "protocol/internal/claimcodec.h"

namespace ivyspar::lab {

namespace {

constexpr std::size_t SECONDS = 20;

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

struct Case
{
    std::size_t daemons = 0;
    std::size_t perSecond = 0;
    /// Shortest time between two appends of a daemon.
    Duration appendInterval{ 0 };
};

void measure(const Case &input)
{
    const std::size_t daemons = input.daemons;
    const std::size_t perSecond = input.perSecond;
    OnceOptions options = OnceSimulation::options();
    options.minAppendInterval = input.appendInterval;
    OnceSimulation simulation(1, daemons, ProtocolDefect::None, options);
    simulation.run(std::chrono::seconds(3));
    std::size_t appends = 0;
    std::size_t bytes = 0;
    std::size_t entries = 0;
    std::map<CallId, TimePoint> sent;
    std::vector<double> waits;
    simulation.onAppend = [&](const ClaimBatch &batch) {
        ++appends;
        bytes += encodeClaims(batch).size();
        entries += batch.entries.size();
    };
    simulation.onProceed = [&](CallId call) {
        const Duration wait = simulation.now() - sent[call];
        waits.push_back(static_cast<double>(wait.count()) / 1000.0);
    };
    const Duration gap(1'000'000 / perSecond);
    for (std::size_t i = 0; i < SECONDS * perSecond; ++i) {
        // As long as the usual keys.
        const std::string key = "2026-12-02-order-" + std::to_string(1'000'000'000 + i);
        const CallId call =
            simulation.request(simulation.random().below(daemons), key, std::chrono::seconds(2));
        sent[call] = simulation.now();
        simulation.run(
            Duration(simulation.random().below(2 * static_cast<std::uint64_t>(gap.count()))));
    }
    const auto perSecondOf = [](std::size_t count) { return static_cast<double>(count) / SECONDS; };
    std::printf(
        "{\"bench\":\"once\",\"daemons\":%zu,\"requests_per_s\":%zu,\"append_interval_ms\":%.0f,"
        "\"appends_per_s\":%.1f,\"appended_bytes_per_s\":%.0f,\"bytes_per_entry\":%.1f,"
        "\"entries_per_append\":%.2f,\"added_ms_p50\":%.2f,\"added_ms_p99\":%.2f}\n",
        daemons, perSecond, static_cast<double>(input.appendInterval.count()) / 1000.0,
        perSecondOf(appends), perSecondOf(bytes),
        static_cast<double>(bytes) / static_cast<double>(std::max<std::size_t>(1, entries)),
        static_cast<double>(entries) / static_cast<double>(std::max<std::size_t>(1, appends)),
        quantile(waits, 0.5), quantile(waits, 0.99));
    std::fflush(stdout);
}

} // namespace

int runOnceBench(int argc, char **argv)
{
    using std::chrono::milliseconds;
    constexpr int ARGUMENTS_PER_CASE = 3;
    std::vector<Case> cases;
    for (int i = 1; i + ARGUMENTS_PER_CASE <= argc; i += ARGUMENTS_PER_CASE) {
        cases.push_back({ std::strtoul(argv[i], nullptr, 10),
                          std::strtoul(argv[i + 1], nullptr, 10),
                          milliseconds(std::strtoul(argv[i + 2], nullptr, 10)) });
    }
    if (cases.empty()) {
        cases = { { 16, 100, milliseconds(5) },
                  { 12, 1300, milliseconds(5) },
                  { 12, 1300, milliseconds(50) },
                  { 24, 1300, milliseconds(100) } };
    }
    for (const Case &one : cases) {
        measure(one);
    }
    return 0;
}

} // namespace ivyspar::lab
