#include "standins/log/logstandin.h"

#include <cstdio>
#include <fstream>
#include <memory>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/log/logfaultscodec.h"
#include "standins/log/logserver.h"
#include "standins/options.h"
#include "standins/signals.h"
#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

constexpr int EXIT_FAILURE_AT_START = 1;
constexpr int EXIT_USAGE = 2;
constexpr Duration STOP_TIMEOUT = std::chrono::seconds(1);

LogLimits readLimits(const Options &options)
{
    LogLimits limits;
    limits.appendsPerSecond =
        static_cast<std::uint32_t>(options.number("appends_per_second", limits.appendsPerSecond));
    limits.keptRecords = static_cast<std::size_t>(
        options.number("kept_records", static_cast<double>(limits.keptRecords)));
    const auto keptMs = std::chrono::duration_cast<std::chrono::milliseconds>(limits.keptFor);
    limits.keptFor = std::chrono::milliseconds(
        static_cast<long>(options.number("kept_ms", static_cast<double>(keptMs.count()))));
    return limits;
}

/// Faults are posted as JSON, and records are bounded by the log itself.
HttpLimits serverLimits()
{
    HttpLimits limits;
    limits.bodyBytes = 2 * LogLimits().recordBytes;
    return limits;
}

} // namespace

int runLogStandin(int argc, char **argv)
{
    const Options options(argc, argv);
    blockStopSignals();
    LogCore core(readLimits(options));
    const Ret faults = applyFaults(options.text("faults", "{}"), core.faults());
    if (!faults) {
        std::fprintf(stderr, "log: %s\n", faults.error().text.c_str());
        return EXIT_USAGE;
    }
    const auto loop = makeEventLoop();
    LogServer log(*loop, core);
    const auto server = makeHttpServer(*loop);
    int exitCode = 0;
    loop->spawn([&] {
        const RetVal<Endpoint> bound =
            server->listen(options.endpoint("listen", "127.0.0.1:0"), serverLimits(),
                           [&log](IHttpExchange &exchange) { return log.handle(exchange); });
        if (!bound) {
            std::fprintf(stderr, "log: %s\n", bound.error().text.c_str());
            exitCode = EXIT_FAILURE_AT_START;
            loop->stop();
            return;
        }
        const nlohmann::json ready{ { "endpoint", bound->text() } };
        std::ofstream(options.text("ready_file", "/dev/stdout")) << ready.dump() << '\n';
    });
    std::thread waiter([&] {
        waitForStopSignal();
        loop->post([&] {
            loop->spawn([&] {
                server->drain(STOP_TIMEOUT);
                loop->stop();
            });
        });
    });
    loop->run();
    stopWaiting(waiter);
    return exitCode;
}

} // namespace ivyspar::lab
