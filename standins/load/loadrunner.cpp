#include "standins/load/loadrunner.h"

#include <iterator>
#include <thread>

#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

/// Seeds of the threads of one run are far from those of other runs.
constexpr std::uint64_t SEED_STEP = 1000;

std::vector<LoadRecord> runOnThisThread(const CallGraph &graph, const LoadPlan &plan)
{
    const auto loop = makeEventLoop();
    LoadGenerator generator(*loop, graph, plan);
    loop->spawn([&] {
        generator.run();
        loop->stop();
    });
    loop->run();
    return generator.records();
}

} // namespace

std::vector<LoadRecord> runLoad(const CallGraph &graph, const LoadPlan &plan, std::size_t threads)
{
    std::vector<std::vector<LoadRecord>> parts(threads);
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < threads; ++i) {
        LoadPlan share = plan;
        share.seed = plan.seed + i * SEED_STEP;
        for (LoadPhase &phase : share.phases) {
            phase.rate /= static_cast<double>(threads);
        }
        workers.emplace_back([&graph, &part = parts[i], share = std::move(share)] {
            part = runOnThisThread(graph, share);
        });
    }
    std::vector<LoadRecord> records;
    for (std::size_t i = 0; i < threads; ++i) {
        workers[i].join();
        std::move(parts[i].begin(), parts[i].end(), std::back_inserter(records));
    }
    return records;
}

} // namespace ivyspar::lab
