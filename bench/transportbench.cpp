#include "bench/transportbench.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <unistd.h>

#include "transport/oneshot.h"
#include "transport/tests/looprunner.h"
#include "transport/tests/rawsocket.h"

namespace ivyspar::lab {

namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

const Endpoint ANY_PORT{ "127.0.0.1", 0 };
constexpr std::size_t PAYLOAD_BYTES = 600;
constexpr int CALLS_PER_SECOND = 160;
constexpr int MAX_RATE_FIBERS = 64;
constexpr Duration CALL_TIMEOUT = std::chrono::seconds(10);
constexpr std::size_t MEMORY_SAMPLES = 500;

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double residentKib()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

struct Samples
{
    std::vector<double> micros;
    double wall = 0;
    double clientCpu = 0;
    double serverCpu = 0;
    std::size_t failures = 0;

    void add(Clock::duration duration)
    {
        micros.push_back(std::chrono::duration<double, std::micro>(duration).count());
    }

    double quantile(double q)
    {
        if (micros.empty()) {
            return 0;
        }
        std::sort(micros.begin(), micros.end());
        const auto last = static_cast<double>(micros.size() - 1);
        return micros[static_cast<std::size_t>(q * last)];
    }

    void print(const char *name)
    {
        const double calls = std::max<double>(1, static_cast<double>(micros.size()));
        std::printf("%-22s calls/s %8.0f  p50 %7.1f us  p99 %7.1f us  cpu/call client %6.2f us "
                    "server %6.2f us  failures %zu\n",
                    name, calls / wall, quantile(0.5), quantile(0.99), clientCpu / calls * 1e6,
                    serverCpu / calls * 1e6, failures);
        std::fflush(stdout);
    }
};

/// Two loops on two threads, as two daemons would be.
struct Pair
{
    LoopRunner client;
    LoopRunner server;

    static double cpuOf(LoopRunner &runner)
    {
        double cpu = 0;
        runner.run([&] { cpu = threadCpuSeconds(); });
        return cpu;
    }

    /// Runs `call` from `fibers` fibers, at `CALLS_PER_SECOND` or as fast as it goes.
    Samples measure(double seconds, int fibers, bool isPaced, const std::function<bool()> &call)
    {
        Samples samples;
        const double clientCpu = cpuOf(client);
        const double serverCpu = cpuOf(server);
        const auto begin = Clock::now();
        std::vector<std::future<void>> done;
        done.reserve(fibers);
        for (int i = 0; i < fibers; ++i) {
            done.push_back(client.start([&] { runCalls(samples, begin, seconds, isPaced, call); }));
        }
        for (auto &one : done) {
            one.wait();
        }
        samples.wall = Seconds(Clock::now() - begin).count();
        samples.clientCpu = cpuOf(client) - clientCpu;
        samples.serverCpu = cpuOf(server) - serverCpu;
        return samples;
    }

    void runCalls(Samples &samples, Clock::time_point begin, double seconds, bool isPaced,
                  const std::function<bool()> &call)
    {
        const auto end = begin + std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
        const auto interval = std::chrono::microseconds(1000000 / CALLS_PER_SECOND);
        for (auto next = begin; Clock::now() < end; next += interval) {
            if (isPaced) {
                client.loop().sleepFor(std::chrono::duration_cast<Duration>(next - Clock::now()));
            }
            const auto start = Clock::now();
            samples.failures += call() ? 0 : 1;
            samples.add(Clock::now() - start);
        }
    }
};

void serveBareEcho(RawSocket &listener, double &cpu)
{
    RawSocket peer = listener.accept();
    std::string message;
    while (!(message = peer.readUntil("\n")).empty()) {
        peer.send(message);
    }
    cpu = threadCpuSeconds();
}

Samples measureBareEcho(double seconds, bool isPaced)
{
    Samples samples;
    RawSocket listener = RawSocket::listenOn(ANY_PORT);
    std::thread server([&] { serveBareEcho(listener, samples.serverCpu); });
    {
        RawSocket socket = RawSocket::connectTo(listener.localEndpoint());
        const std::string message = std::string(PAYLOAD_BYTES - 1, 'x') + '\n';
        const auto interval = std::chrono::microseconds(1000000 / CALLS_PER_SECOND);
        const auto begin = Clock::now();
        const double cpu = threadCpuSeconds();
        for (auto next = begin; Seconds(Clock::now() - begin).count() < seconds; next += interval) {
            if (isPaced) {
                std::this_thread::sleep_until(next);
            }
            const auto start = Clock::now();
            socket.send(message);
            samples.failures += socket.readUntil("\n").size() == PAYLOAD_BYTES ? 0 : 1;
            samples.add(Clock::now() - start);
        }
        samples.wall = Seconds(Clock::now() - begin).count();
        samples.clientCpu = threadCpuSeconds() - cpu;
    }
    server.join();
    return samples;
}

class HttpEcho
{
public:
    HttpEcho()
    {
        m_pair.server.run([this] {
            m_server = makeHttpServer(m_pair.server.loop());
            m_endpoint = m_server
                             ->listen(ANY_PORT, {},
                                      [](IHttpExchange &exchange) {
                                          HttpResponse response;
                                          response.body = exchange.request().body;
                                          return response;
                                      })
                             .value();
        });
        m_pair.client.run([this] { m_client = makeHttpClient(m_pair.client.loop(), {}); });
        m_request.method = "POST";
        m_request.target = "/echo";
        m_request.body = std::string(PAYLOAD_BYTES, 'x');
    }

    ~HttpEcho()
    {
        m_pair.client.run([this] { m_client.reset(); });
        m_pair.server.run([this] { m_server.reset(); });
    }
    HttpEcho(const HttpEcho &) = delete;
    HttpEcho &operator=(const HttpEcho &) = delete;

    Samples measure(double seconds, int fibers, bool isPaced)
    {
        return m_pair.measure(seconds, fibers, isPaced, [this] {
            const auto result = m_client->exchange(m_endpoint, m_request, CALL_TIMEOUT, {});
            return result && result->body.size() == PAYLOAD_BYTES;
        });
    }

    Pair &pair() { return m_pair; }
    const Endpoint &endpoint() const { return m_endpoint; }

private:
    Pair m_pair;
    std::unique_ptr<IHttpServer> m_server;
    std::unique_ptr<IHttpClient> m_client;
    Endpoint m_endpoint;
    HttpRequest m_request;
};

/// Sends back each frame.
class EchoHandler : public IPeerHandler
{
public:
    explicit EchoHandler(IPeerNetwork &network)
        : m_network(network)
    {
    }
    void onFrame(LinkId link, std::string frame) override
    {
        m_network.send(link, std::move(frame));
    }
    void onLinkDown(LinkId /*link*/) override { }

private:
    IPeerNetwork &m_network;
};

/// Wakes the fiber whose call a frame answers; the first 8 bytes are the call's number.
class CallHandler : public IPeerHandler
{
public:
    void onFrame(LinkId /*link*/, std::string frame) override
    {
        const auto found = m_calls.find(std::strtoull(frame.substr(0, 8).c_str(), nullptr, 10));
        if (found != m_calls.end()) {
            found->second->set(frame.size());
        }
    }
    void onLinkDown(LinkId /*link*/) override { }

    bool call(IEventLoop &loop, IPeerNetwork &network, LinkId link)
    {
        const std::uint64_t number = 10000000 + m_next++ % 10000000;
        std::string frame = std::to_string(number);
        frame.resize(PAYLOAD_BYTES, 'x');
        OneShot<std::size_t> answer(loop);
        m_calls.emplace(number, &answer);
        const bool isSent = network.send(link, std::move(frame)).has_value();
        const bool isAnswered = isSent && answer.wait(CALL_TIMEOUT) == PAYLOAD_BYTES;
        m_calls.erase(number);
        return isAnswered;
    }

private:
    std::unordered_map<std::uint64_t, OneShot<std::size_t> *> m_calls;
    std::uint64_t m_next = 0;
};

class PeerEcho
{
public:
    PeerEcho()
    {
        m_pair.server.run([this] {
            m_server = makePeerNetwork(m_pair.server.loop());
            m_echo = std::make_unique<EchoHandler>(*m_server);
            m_server->setHandler(m_echo.get());
            m_endpoint = m_server->listen(ANY_PORT, {}).value();
        });
        m_pair.client.run([this] {
            m_client = makePeerNetwork(m_pair.client.loop());
            m_client->setHandler(&m_calls);
            m_link = m_client->connect(m_endpoint).value();
        });
    }

    ~PeerEcho()
    {
        m_pair.client.run([this] { m_client.reset(); });
        m_pair.server.run([this] { m_server.reset(); });
    }
    PeerEcho(const PeerEcho &) = delete;
    PeerEcho &operator=(const PeerEcho &) = delete;

    Samples measure(double seconds, int fibers, bool isPaced)
    {
        return m_pair.measure(seconds, fibers, isPaced, [this] {
            return m_calls.call(m_pair.client.loop(), *m_client, m_link);
        });
    }

    Pair &pair() { return m_pair; }

private:
    Pair m_pair;
    std::unique_ptr<IPeerNetwork> m_server;
    std::unique_ptr<IPeerNetwork> m_client;
    std::unique_ptr<EchoHandler> m_echo;
    CallHandler m_calls;
    Endpoint m_endpoint;
    LinkId m_link;
};

void measureIdle(const char *name, LoopRunner &runner, double seconds)
{
    const double before = Pair::cpuOf(runner);
    std::this_thread::sleep_for(Seconds(seconds));
    const double used = Pair::cpuOf(runner) - before;
    std::printf("%-22s %.4f %% of a core for one loop\n", name, used / seconds * 100);
    std::fflush(stdout);
}

/// The raw clients of the server's connections are in this process and take next to nothing.
void measureConnectionMemory()
{
    HttpEcho echo;
    const double before = residentKib();
    std::vector<RawSocket> clients;
    for (std::size_t i = 0; i < MEMORY_SAMPLES; ++i) {
        clients.push_back(RawSocket::connectTo(echo.endpoint()));
        clients.back().send("GET / HTTP/1.1\r\n\r\n");
        clients.back().readUntil("\r\n\r\n");
    }
    std::printf("%-22s %.1f KiB each (server side)\n", "memory http idle",
                (residentKib() - before) / static_cast<double>(MEMORY_SAMPLES));
}

/// Both ends of the links are in this process.
void measureLinks(double seconds)
{
    LoopRunner server;
    LoopRunner client;
    std::vector<std::unique_ptr<IPeerNetwork>> servers;
    std::unique_ptr<IPeerNetwork> network;
    std::vector<Endpoint> endpoints;
    server.run([&] {
        for (std::size_t i = 0; i < MEMORY_SAMPLES; ++i) {
            servers.push_back(makePeerNetwork(server.loop()));
            endpoints.push_back(servers.back()->listen(ANY_PORT, {}).value());
        }
    });
    client.run([&] { network = makePeerNetwork(client.loop()); });
    const double before = residentKib();
    client.run([&] {
        for (const auto &endpoint : endpoints) {
            network->send(network->connect(endpoint).value(), std::string(PAYLOAD_BYTES, 'x'));
        }
    });
    server.run([] {});
    std::printf("%-22s %.1f KiB each end\n", "memory peer link",
                (residentKib() - before) / static_cast<double>(2 * MEMORY_SAMPLES));
    measureIdle("idle 500 peer links", client, seconds);
    client.run([&] { network.reset(); });
    server.run([&] { servers.clear(); });
}

void measureLatencies(double seconds)
{
    measureBareEcho(seconds, true).print("bare echo 160/s");
    {
        HttpEcho http;
        http.measure(seconds / 4, 1, false);
        http.measure(seconds, 1, true).print("http 160/s");
        measureBareEcho(seconds, false).print("bare echo max, 1");
        http.measure(seconds, 1, false).print("http max, 1 fiber");
        http.measure(seconds, MAX_RATE_FIBERS, false).print("http max, 64 fibers");
        measureIdle("idle http", http.pair().server, seconds);
    }
    PeerEcho peer;
    peer.measure(seconds / 4, 1, false);
    measureBareEcho(seconds, true).print("bare echo 160/s");
    peer.measure(seconds, 1, true).print("peer link 160/s");
    peer.measure(seconds, 1, false).print("peer link max, 1");
    peer.measure(seconds, MAX_RATE_FIBERS, false).print("peer link max, 64");
    measureIdle("idle peer link", peer.pair().server, seconds);
}

} // namespace

int runTransportBench(int argc, char **argv)
{
    const double seconds = argc > 1 ? std::max(0.1, std::atof(argv[1])) : 4;
    measureConnectionMemory();
    measureLinks(seconds);
    measureLatencies(seconds);
    return EXIT_SUCCESS;
}

} // namespace ivyspar::lab
