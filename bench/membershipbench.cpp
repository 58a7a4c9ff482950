#include "bench/membershipbench.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "coordination/membership/tests/mocks/membershipsimulation.h"
#include "protocol/internal/membershipcodec.h"

namespace ivyspar::lab {

namespace {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t DOMAIN_COUNT = 6;
constexpr std::size_t RACK_SIZE = 20;
constexpr std::size_t MASS_START = 130;
constexpr Duration LIMIT = 120s;
/// Bytes around each payload on the wire: control frame, WebSocket, TCP and IP headers.
constexpr std::size_t FRAME_BYTES = 90;

/// A cluster whose traffic and work are counted.
class Bench
{
public:
    explicit Bench(std::size_t members)
        : m_simulation(1)
        , m_members(members)
    {
        for (std::size_t i = 0; i < members; ++i) {
            m_simulation.start(domainOf(i), i == 0 ? MembershipSimulation::NONE : i / 2);
        }
        m_simulation.run(30s);
        m_simulation.runUntil([this] { return m_simulation.agreeOn(m_members); }, LIMIT);
        m_simulation.run(60s);
        m_simulation.onSend = [this](std::size_t sender, const MembershipMessage &message) {
            countSent(sender, message);
        };
        m_simulation.onTick = [this](bool isBegin) { countTick(isBegin); };
    }

    MembershipSimulation &simulation() { return m_simulation; }
    std::size_t members() const { return m_members; }
    std::string domainOf(std::size_t index) const
    {
        return "domain-" + std::to_string(index % DOMAIN_COUNT);
    }

    /// Runs until all running daemons see `count` members, then 30 s more; prints what it cost.
    void measure(const char *name, std::size_t count)
    {
        reset();
        const Duration taken =
            m_simulation.runUntil([&] { return m_simulation.agreeOn(count); }, LIMIT);
        const Duration after = 30s;
        m_simulation.run(after);
        print(name, taken, taken + after);
    }

    void measureSteady()
    {
        reset();
        m_simulation.run(60s);
        print("steady", Duration(0), 60s);
    }

private:
    void reset()
    {
        m_bytes.assign(m_simulation.size(), 0);
        m_second.assign(m_simulation.size(), 0);
        m_secondStart = m_simulation.now();
        m_peak = 0;
        m_messages = 0;
        m_largest = 0;
        m_ticks = 0;
        m_tickTime = {};
        m_encodeTime = {};
        m_runStart = SteadyClock::now();
    }

    void countSent(std::size_t sender, const MembershipMessage &message)
    {
        const auto start = SteadyClock::now();
        const std::size_t size = encodeMembership(message).size();
        m_encodeTime += SteadyClock::now() - start;
        m_largest = std::max(m_largest, size);
        ++m_messages;
        if (sender >= m_bytes.size()) {
            m_bytes.resize(sender + 1);
            m_second.resize(sender + 1);
        }
        if (m_simulation.now() - m_secondStart >= 1s) {
            m_secondStart = m_simulation.now();
            m_second.assign(m_second.size(), 0);
        }
        m_bytes[sender] += size + FRAME_BYTES;
        m_second[sender] += size + FRAME_BYTES;
        m_peak = std::max(m_peak, m_second[sender]);
    }

    void countTick(bool isBegin)
    {
        const auto now = SteadyClock::now();
        if (isBegin) {
            m_tickStart = now;
            return;
        }
        ++m_ticks;
        m_tickTime += now - m_tickStart;
    }

    void print(const char *name, Duration taken, Duration whole) const
    {
        std::size_t sum = 0;
        std::size_t most = 0;
        for (const std::size_t bytes : m_bytes) {
            sum += bytes;
            most = std::max(most, bytes);
        }
        const double seconds = std::chrono::duration<double>(whole).count();
        const double daemons = static_cast<double>(m_bytes.size());
        const auto micros = [](SteadyClock::duration time) {
            return std::chrono::duration<double, std::micro>(time).count();
        };
        const double cpu = micros(SteadyClock::now() - m_runStart) / daemons / seconds;
        std::printf(
            "{\"bench\":\"membership\",\"case\":\"%s\",\"members\":%zu,"
            "\"periods_until_all_know\":%.1f,\"sent_bytes_per_s_mean\":%.0f,"
            "\"sent_bytes_per_s_busiest\":%.0f,\"sent_bytes_peak_second\":%zu,"
            "\"largest_message\":%zu,\"messages_per_s\":%.2f,\"us_per_tick\":%.2f,"
            "\"us_per_encode\":%.2f,\"cpu_us_per_s\":%.0f}\n",
            name, m_members, std::chrono::duration<double>(taken).count(),
            static_cast<double>(sum) / daemons / seconds, static_cast<double>(most) / seconds,
            m_peak, m_largest, static_cast<double>(m_messages) / daemons / seconds,
            m_ticks == 0 ? 0.0 : micros(m_tickTime) / static_cast<double>(m_ticks),
            m_messages == 0 ? 0.0 : micros(m_encodeTime) / static_cast<double>(m_messages), cpu);
        std::fflush(stdout);
    }

    MembershipSimulation m_simulation;
    std::size_t m_members;
    std::vector<std::size_t> m_bytes;
    /// Bytes sent in the running second.
    std::vector<std::size_t> m_second;
    TimePoint m_secondStart;
    std::size_t m_peak = 0;
    std::size_t m_messages = 0;
    std::size_t m_largest = 0;
    std::size_t m_ticks = 0;
    SteadyClock::duration m_tickTime{};
    SteadyClock::duration m_encodeTime{};
    SteadyClock::time_point m_tickStart;
    SteadyClock::time_point m_runStart;
};

void measureSmallChanges(Bench &bench)
{
    bench.measureSteady();
    std::size_t count = bench.members();
    bench.simulation().start(bench.domainOf(0), 0);
    bench.measure("one_join", ++count);
    bench.simulation().crash(count / 2);
    bench.measure("one_crash", --count);
    bench.simulation().restart(count / 2, 0);
    bench.measure("one_restart", ++count);
    bench.simulation().leave(count / 3);
    bench.measure("one_goodbye", --count);
}

void measureRack(Bench &bench)
{
    // All in one failure domain.
    for (std::size_t i = 0; i < RACK_SIZE; ++i) {
        bench.simulation().crash(1 + i * DOMAIN_COUNT);
    }
    bench.measure("rack_lost", bench.members() - RACK_SIZE);
}

void measureDomain(Bench &bench)
{
    std::size_t inside = 0;
    for (std::size_t i = 0; i < bench.members(); ++i) {
        inside += bench.domainOf(i) == bench.domainOf(1) ? 1 : 0;
    }
    bench.simulation().partition(bench.domainOf(1));
    bench.simulation().run(10s);
    bench.simulation().run(50s);
    bench.simulation().heal();
    bench.measure("domain_back", bench.members());
}

void measureMassStart(Bench &bench)
{
    for (std::size_t i = 0; i < MASS_START; ++i) {
        bench.simulation().start(bench.domainOf(i), i % 3);
    }
    bench.measure("start_130", bench.members() + MASS_START);
}

} // namespace

int runMembershipBench(int argc, char **argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = { 4, 16, 64, 256, 790 };
    }
    for (const std::size_t size : sizes) {
        Bench small(size);
        measureSmallChanges(small);
        if (size < 2 * MASS_START) {
            continue;
        }
        Bench rack(size);
        measureRack(rack);
        Bench domain(size);
        measureDomain(domain);
        Bench start(size);
        measureMassStart(start);
    }
    return 0;
}

} // namespace ivyspar::lab
