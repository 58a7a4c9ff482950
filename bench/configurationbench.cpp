#include "bench/configurationbench.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "coordination/configuration/configurationdigest.h"
#include "protocol/configurationreaderfactory.h"
#include "protocol/internal/configurationrecordcodec.h"
#include "standins/control/followercluster.h"
#include "standins/options.h"
#include "transport/transportfactory.h"

namespace ivyspar::lab {

namespace {

constexpr const char *DOMAINS[] = { "a", "b", "c", "d" };
constexpr std::size_t DOMAIN_COUNT = 4;
constexpr Duration PATIENCE = std::chrono::minutes(1);
/// Time for the followers to come to rest after the start and after each change.
constexpr Duration SETTLE = std::chrono::seconds(2);

struct Traffic
{
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t readBytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t messageBytes = 0;
};

struct BenchText
{
    std::string inventory;
    std::string rules;
};

/// One size of deployment.
class ConfigurationBench
{
public:
    ConfigurationBench(IEventLoop &loop, const IConfigurationReader &reader, const BenchText &text,
                       std::size_t daemons)
        : m_loop(loop)
        , m_cluster(loop, reader, {})
        , m_text(text)
        , m_daemons(daemons)
    {
    }

    /// False when a change did not reach all daemons.
    bool run(std::uint64_t changes, Duration idle, bool isCut, Duration outage)
    {
        start(isCut);
        std::vector<double> lastMs;
        std::vector<double> allMs;
        for (std::uint64_t i = 0; i < changes; ++i) {
            if (!change(i, allMs, lastMs)) {
                std::printf("%6zu: change %llu did not reach all daemons\n", m_daemons,
                            static_cast<unsigned long long>(i));
                m_cluster.stop();
                return false;
            }
        }
        const Traffic before = traffic();
        const TimePoint start = m_loop.now();
        m_loop.sleepFor(idle);
        report(allMs, lastMs, before, m_loop.now() - start, isCut);
        if (outage > Duration::zero()) {
            measureReturn(outage);
        }
        m_cluster.stop();
        return true;
    }

private:
    void start(bool isCut)
    {
        for (std::size_t i = 0; i < m_daemons; ++i) {
            const std::string domain = DOMAINS[i % DOMAIN_COUNT];
            const FollowerHost &host = m_cluster.add(domain + std::to_string(i), domain);
            if (isCut && domain == DOMAINS[0]) {
                m_cluster.log().faults().cutClients.insert(host.peer.id.value());
            }
        }
        m_loop.sleepFor(SETTLE);
    }

    bool change(std::uint64_t base, std::vector<double> &allMs, std::vector<double> &lastMs)
    {
        ConfigurationRecord record;
        record.changeId = "change " + std::to_string(base);
        record.base = ConfigurationVersion(base);
        record.inventory = m_text.inventory + "# " + std::to_string(base) + "\n";
        record.rules = m_text.rules;
        record.digest = configurationDigest(record.inventory, record.rules);
        const std::string payload = encodeConfigurationRecord(record).value_or("");
        std::unique_ptr<InProcessHttpClient> client;
        const auto log = m_cluster.makeLog("operator", client);
        const TimePoint published = m_loop.now();
        if (!log->append(StreamName(CONFIGURATION_STREAM), payload)) {
            return false;
        }
        while (!isEverywhere(base + 1) && m_loop.now() - published < PATIENCE) {
            m_loop.sleepFor(std::chrono::milliseconds(1));
        }
        if (!isEverywhere(base + 1)) {
            return false;
        }
        double last = 0;
        for (const auto &host : m_cluster.hosts()) {
            const double ms =
                std::chrono::duration<double, std::milli>(host->lastChange - published).count();
            allMs.push_back(ms);
            last = std::max(last, ms);
        }
        lastMs.push_back(last);
        // Not a multiple of any interval, so that changes fall into all phases of the followers.
        m_loop.sleepFor(SETTLE / 4 + std::chrono::milliseconds(37 * (base % 10)));
        return true;
    }

    bool isEverywhere(std::uint64_t version)
    {
        return std::all_of(m_cluster.hosts().begin(), m_cluster.hosts().end(),
                           [version](const auto &host) { return host->version() == version; });
    }

    Traffic traffic()
    {
        const StreamStatistics &log =
            m_cluster.log().statistics().at(StreamName(CONFIGURATION_STREAM));
        return { log.appends, log.reads, log.readBytes, m_cluster.network().messageCount(),
                 m_cluster.network().byteCount() };
    }

    /// Whether the followers press a log that comes back.
    void measureReturn(Duration outage)
    {
        m_cluster.log().faults().isDown = true;
        m_loop.sleepFor(outage);
        m_cluster.log().faults().isDown = false;
        std::printf("%6zu reads in each second after an outage:", m_daemons);
        for (int second = 0; second < 10; ++second) {
            const std::uint64_t before = traffic().reads;
            m_loop.sleepFor(std::chrono::seconds(1));
            std::printf(" %llu", static_cast<unsigned long long>(traffic().reads - before));
        }
        std::puts("");
    }

    static double percentile(std::vector<double> values, double share)
    {
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        return values.empty() ? 0 : values[index];
    }

    void report(const std::vector<double> &allMs, const std::vector<double> &lastMs,
                const Traffic &before, Duration idle, bool isCut)
    {
        const Traffic after = traffic();
        const double seconds = std::chrono::duration<double>(idle).count();
        const auto rate = [seconds](std::uint64_t from, std::uint64_t to) {
            return static_cast<double>(to - from) / seconds;
        };
        std::printf(
            "%6zu %3s  each %7.1f %7.1f %7.1f  last %7.1f %7.1f %7.1f  idle: snapshots "
            "%llu log reads/s %6.1f bytes/s %6.0f, messages/s %7.1f bytes/s %8.0f\n",
            m_daemons, isCut ? "cut" : "", percentile(allMs, 0.5), percentile(allMs, 0.99),
            percentile(allMs, 1), percentile(lastMs, 0.5), percentile(lastMs, 0.99),
            percentile(lastMs, 1), static_cast<unsigned long long>(after.appends - before.appends),
            rate(before.reads, after.reads), rate(before.readBytes, after.readBytes),
            rate(before.messages, after.messages), rate(before.messageBytes, after.messageBytes));
        std::fflush(stdout);
    }

    IEventLoop &m_loop;
    FollowerCluster m_cluster;
    BenchText m_text;
    std::size_t m_daemons;
};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

int runConfigurationBench(int argc, char **argv)
{
    const Options options(argc, argv);
    BenchText text;
    text.inventory = readFile(options.text("inventory", "examples/tallowood/inventory.toml"));
    text.rules = readFile(options.text("rules", "examples/tallowood/rules.toml"));
    std::vector<std::string> sizes = options.texts("daemons");
    if (sizes.empty()) {
        sizes = { "16", "790" };
    }
    const auto changes = static_cast<std::uint64_t>(options.number("changes", 20));
    const auto idle =
        std::chrono::milliseconds(static_cast<long>(1000 * options.number("idle_s", 60)));
    const auto outage =
        std::chrono::milliseconds(static_cast<long>(1000 * options.number("outage_s", 0)));
    std::puts("daemons     publish → in force, ms: p50 p99 max of each daemon, of the last daemon");
    const auto reader = makeConfigurationReader();
    bool isWhole = true;
    for (const std::string &size : sizes) {
        const auto loop = makeEventLoop();
        ConfigurationBench bench(*loop, *reader, text, std::stoul(size));
        loop->spawn([&] {
            isWhole = bench.run(changes, idle, options.has("cut"), outage) && isWhole;
            loop->stop();
        });
        loop->run();
    }
    return isWhole ? 0 : 1;
}

} // namespace ivyspar::lab
