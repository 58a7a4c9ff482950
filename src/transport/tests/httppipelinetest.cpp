#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "transport/oneshot.h"
#include "transport/tests/loopback.h"
#include "transport/tests/looprunner.h"
#include "transport/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

namespace {

constexpr std::size_t BIG_BYTES = 64 * 1024 * 1024;

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string request(const std::string &method, const std::string &target,
                    const std::string &fields = "")
{
    return method + ' ' + target + " HTTP/1.1\r\n" + fields + "\r\n";
}

std::string get(const std::string &target)
{
    return request("GET", target);
}

} // namespace

/// Requests are concurrent unless they are POSTs. A target in `/wait` is handled until it is
/// released or its client is gone.
TEST_GROUP(HttpPipeline)
{
    LoopRunner m_runner;
    std::unique_ptr<IHttpServer> m_server;
    Endpoint m_endpoint;
    HttpLimits m_limits;
    std::map<std::string, std::unique_ptr<OneShot<int>>> m_gates;
    Names m_started;
    Names m_cancelled;
    Duration m_lastWait{ 0 };

    void setup() override
    {
        m_limits.pipelinedRequests = 4;
    }

    void listen()
    {
        listen([this](IHttpExchange &exchange) { return handle(exchange); });
    }

    void listen(HttpHandler handler)
    {
        m_runner.run([&] {
            m_server = makeHttpServer(m_runner.loop());
            m_server->setConcurrencyTest(
                [](const HttpRequest &received) { return received.method != "POST"; });
            m_endpoint = m_server->listen(ownLoopback(), m_limits, std::move(handler)).value();
        });
    }

    void teardown() override
    {
        m_runner.run([&] { m_server.reset(); });
    }

    HttpResponse handle(IHttpExchange & exchange)
    {
        const std::string target = exchange.request().target;
        const std::string body = exchange.request().body;
        m_started.push_back(target);
        m_lastWait = exchange.waited();
        if (contains(target, "/wait")) {
            m_gates[target] = std::make_unique<OneShot<int>>(m_runner.loop());
            exchange.onDisconnect([this, target] {
                m_cancelled.push_back(target);
                m_gates[target]->set(0);
            });
            m_gates[target]->wait(hours(1));
        }
        if (contains(target, "/fail")) {
            throw std::runtime_error("expected by the test");
        }
        HttpResponse response;
        response.body = contains(target, "/big") ? std::string(BIG_BYTES, 'x')
                                                 : '<' + target + ' ' + body + '>';
        return response;
    }

    RawSocket connect()
    {
        return RawSocket::connectTo(m_endpoint);
    }

    void release(const std::string &target)
    {
        m_runner.run([&] { m_gates.at(target)->set(1); });
    }

    bool reachesStarts(std::size_t count)
    {
        return m_runner.reaches([&] { return m_started.size() >= count; });
    }

    bool reachesConnections(std::size_t count)
    {
        return m_runner.reaches([&] { return m_server->connectionCount() == count; });
    }

    Names started()
    {
        Names names;
        m_runner.run([&] { names = m_started; });
        return names;
    }

    PipelineStats stats()
    {
        PipelineStats stats;
        m_runner.run([&] { stats = m_server->pipelineStats(); });
        return stats;
    }

    void checkNothingHeld()
    {
        LONGS_EQUAL(0, stats().inProgress);
        LONGS_EQUAL(0, stats().bytes);
    }
};

// Guards against a caller that pipelines waiting behind its own requests.
TEST(HttpPipeline, RequestsRunAtTheSameTimeAndAreAnsweredInOrder)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2") + get("/wait3") + get("/wait4"));
    CHECK(reachesStarts(4));
    LONGS_EQUAL(3, stats().inProgress);
    CHECK(m_lastWait == Duration::zero());
    for (const char *target : { "/wait4", "/wait3", "/wait2", "/wait1" }) {
        release(target);
    }
    for (const char *target : { "/wait1", "/wait2", "/wait3", "/wait4" }) {
        CHECK(contains(client.readUntil(">"), target));
    }
    LONGS_EQUAL(3, stats().started);
    LONGS_EQUAL(3, stats().waitedForTurn);
    checkNothingHeld();
    client.send(get("/next"));
    CHECK(contains(client.readUntil(">"), "/next"));
}

TEST(HttpPipeline, RequestsRunOneByOneByDefault)
{
    m_limits = HttpLimits();
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2"));
    CHECK(reachesStarts(1));
    CHECK((started() == Names{ "/wait1" }));
    release("/wait1");
    CHECK(reachesStarts(2));
    release("/wait2");
    CHECK(contains(client.readUntil(">"), "/wait1"));
    CHECK(contains(client.readUntil(">"), "/wait2"));
    LONGS_EQUAL(0, stats().started);
}

// Guards against a request that may run only once being started before earlier ones are answered,
// or later ones being started beside it.
TEST(HttpPipeline, RequestThatRunsOnceRunsAlone)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2") + request("POST", "/wait3") + get("/wait4"));
    CHECK(reachesStarts(2));
    release("/wait2");
    CHECK((started() == Names{ "/wait1", "/wait2" }));
    release("/wait1");
    CHECK(reachesStarts(3));
    CHECK((started() == Names{ "/wait1", "/wait2", "/wait3" }));
    CHECK(m_lastWait > Duration::zero());
    release("/wait3");
    CHECK(reachesStarts(4));
    release("/wait4");
    for (const char *target : { "/wait1", "/wait2", "/wait3", "/wait4" }) {
        CHECK(contains(client.readUntil(">"), target));
    }
    LONGS_EQUAL(2, stats().waitedForOrder);
}

TEST(HttpPipeline, LimitDelaysFurtherRequests)
{
    m_limits.pipelinedRequests = 2;
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2") + get("/wait3"));
    CHECK(reachesStarts(2));
    release("/wait2");
    CHECK((started() == Names{ "/wait1", "/wait2" }));
    release("/wait1");
    CHECK(reachesStarts(3));
    release("/wait3");
    CHECK(contains(client.readUntil("wait3 >"), "/wait2"));
    LONGS_EQUAL(1, stats().waitedForLimit);
}

// Guards against requests that run although their response can no longer be sent.
TEST(HttpPipeline, NothingRunsBehindARequestThatClosesTheConnection)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + request("GET", "/wait2", "Connection: close\r\n") + get("/3")
                + request("POST", "/4"));
    CHECK(reachesStarts(2));
    release("/wait2");
    release("/wait1");
    const std::string answers = client.readToEnd();
    CHECK(answers.find("/wait1") < answers.find("/wait2"));
    CHECK(answers.find("Connection: close") > answers.find("/wait1"));
    CHECK((started() == Names{ "/wait1", "/wait2" }));
}

// Guards against a failing handler that closes the connection of requests which are in progress
// behind it.
TEST(HttpPipeline, FailureLeavesTheRequestsBehindItTheirResponses)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait/fail2") + get("/wait3"));
    CHECK(reachesStarts(3));
    release("/wait/fail2");
    release("/wait1");
    release("/wait3");
    const std::string answers = client.readUntil("</wait3 >");
    CHECK(answers.find("/wait1") < answers.find("HTTP/1.1 500 "));
    CHECK(answers.find("HTTP/1.1 500 ") < answers.find("/wait3"));
    CHECK(m_cancelled.empty());
    client.close();
    CHECK(reachesConnections(0));
    checkNothingHeld();
}

// Guards against connections that end with requests unanswered without a trace.
TEST(HttpPipeline, EachUndeliveredResponseIsReportedOnce)
{
    std::vector<DeliveryFailure> failures;
    listen([&](IHttpExchange &exchange) {
        exchange.onUndelivered([&](DeliveryFailure failure) { failures.push_back(failure); });
        return handle(exchange);
    });
    RawSocket served = connect();
    served.send(get("/served"));
    served.readUntil("</served >");
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2"));
    CHECK(reachesStarts(3));
    m_runner.run([&] { m_server.reset(); });
    client.readToEnd();
    release("/wait2");
    release("/wait1");
    const std::vector<DeliveryFailure> expected(2, DeliveryFailure::ServerStopped);
    CHECK(failures == expected);
}

// Guards against requests that continue although their client is gone.
TEST(HttpPipeline, DisconnectEndsEachRequestOnce)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2") + get("/wait3"));
    CHECK(reachesStarts(3));
    client.close();
    CHECK(reachesConnections(0));
    CHECK((m_cancelled == Names{ "/wait1", "/wait2", "/wait3" }));
    checkNothingHeld();
}

// Guards against a client that does not read its responses and has ever more requests started.
TEST(HttpPipeline, SlowReaderGetsNothingFurtherStarted)
{
    m_limits.sendTimeout = milliseconds(50);
    listen();
    RawSocket client = connect();
    client.send(get("/wait/big1") + get("/wait2"));
    CHECK(reachesStarts(2));
    release("/wait/big1");
    CHECK(contains(client.readUntil("\r\n\r\n"), "200 OK"));
    client.send(get("/wait3"));
    CHECK(reachesConnections(0));
    CHECK((m_cancelled == Names{ "/wait2" }));
    CHECK((started() == Names{ "/wait/big1", "/wait2" }));
    checkNothingHeld();
}

// Guards against a drain that loses requests in progress, or starts ones behind them.
TEST(HttpPipeline, DrainAnswersWhatIsInProgress)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2"));
    CHECK(reachesStarts(2));
    auto drained = m_runner.start([&] { m_server->drain(seconds(20)); });
    client.send(get("/3") + request("POST", "/4"));
    release("/wait2");
    release("/wait1");
    const std::string answers = client.readToEnd();
    drained.wait();
    CHECK(answers.find("Connection: close") > answers.find("/wait1"));
    CHECK(contains(answers, "/wait2"));
    CHECK((started() == Names{ "/wait1", "/wait2" }));
    CHECK(reachesConnections(0));
}

// Guards against a drain that ends while a request before its turn is still handled.
TEST(HttpPipeline, DrainWaitsForCancelledRequests)
{
    listen([this](IHttpExchange &exchange) {
        m_started.push_back(exchange.request().target);
        m_gates[m_started.back()] = std::make_unique<OneShot<int>>(m_runner.loop());
        m_gates[m_started.back()]->wait(hours(1));
        return HttpResponse();
    });
    RawSocket client = connect();
    client.send(get("/1") + get("/2"));
    CHECK(reachesStarts(2));
    client.reset();
    release("/1");
    m_runner.run([&] { m_server->drain(milliseconds(10)); });
    CHECK(reachesConnections(1));
    release("/2");
    CHECK(reachesConnections(0));
}

TEST(HttpPipeline, DisabledKeepAliveStartsNothingFurther)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2"));
    CHECK(reachesStarts(2));
    m_runner.run([&] { m_server->disableKeepAlive(); });
    client.send(get("/3"));
    release("/wait1");
    release("/wait2");
    const std::string answers = client.readToEnd();
    CHECK(answers.find("Connection: close") > answers.find("/wait1"));
    CHECK(contains(answers, "/wait2"));
    CHECK((started() == Names{ "/wait1", "/wait2" }));
}

TEST(HttpPipeline, ServerEndsWithRequestsInProgress)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2") + "GET /half");
    CHECK(reachesStarts(2));
    m_runner.run([&] { m_server.reset(); });
    client.readToEnd();
    release("/wait2");
    release("/wait1");
    CHECK((started() == Names{ "/wait1", "/wait2" }));
    CHECK(m_cancelled.empty());
}

TEST(HttpPipeline, RequestsMayArriveInParts)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + "PUT /wait2 HTTP/1.1\r\nConte");
    CHECK(reachesStarts(1));
    client.send("nt-Length: 6\r\n\r\nabc");
    client.send("def" + get("/wait3"));
    CHECK(reachesStarts(3));
    release("/wait3");
    release("/wait2");
    release("/wait1");
    CHECK(contains(client.readUntil(">"), "/wait1"));
    CHECK(contains(client.readUntil(">"), "/wait2 abcdef"));
    CHECK(contains(client.readUntil(">"), "/wait3"));
}

TEST(HttpPipeline, PartialRequestBehindOthersTimesOutAfterThem)
{
    m_limits.receiveTimeout = milliseconds(20);
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + "GET /ha");
    CHECK(reachesStarts(1));
    release("/wait1");
    const std::string answers = client.readToEnd();
    CHECK(answers.find("/wait1") < answers.find("HTTP/1.1 408 "));
}

TEST(HttpPipeline, HeadAndContinueKeepTheirOrder)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + request("HEAD", "/wait2")
                + request("PUT", "/3", "Content-Length: 2\r\nExpect: 100-continue\r\n"));
    CHECK(reachesStarts(2));
    release("/wait2");
    release("/wait1");
    CHECK(contains(client.readUntil(">"), "/wait1"));
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                 client.readUntil("\r\n\r\n").c_str());
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", client.readUntil("\r\n\r\n").c_str());
    client.send("ab");
    CHECK(contains(client.readUntil(">"), "/3 ab"));
}

TEST(HttpPipeline, MalformedRequestIsAnsweredAfterThoseBeforeIt)
{
    listen();
    RawSocket client = connect();
    client.send(get("/wait1") + get("/wait2") + "nonsense\r\n\r\n" + get("/4"));
    CHECK(reachesStarts(2));
    release("/wait2");
    release("/wait1");
    const std::string answers = client.readToEnd();
    CHECK(answers.find("/wait1") < answers.find("/wait2"));
    CHECK(answers.find("/wait2") < answers.find("HTTP/1.1 400 "));
    CHECK((started() == Names{ "/wait1", "/wait2" }));
}

// Guards against memory that grows with the number of clients that pipeline and do not read.
TEST(HttpPipeline, ManyClientsThatDoNotReadStayWithinTheBound)
{
    constexpr std::size_t CLIENTS = 1000;
    constexpr std::size_t BODY_BYTES = 100 * 1024;
    m_limits.pipelinedRequests = 8;
    m_limits.pipelinedServerBytes = 4 * 1024 * 1024;
    std::size_t maxBytes = 0;
    std::size_t firstCount = 0;
    listen([&](IHttpExchange &exchange) {
        if (exchange.request().target == "/first") {
            ++firstCount;
            OneShot<int> isGone(m_runner.loop());
            exchange.onDisconnect([&isGone] { isGone.set(1); });
            isGone.wait(hours(1));
        }
        maxBytes = std::max(maxBytes, m_server->pipelineStats().bytes);
        return HttpResponse{ 200, {}, std::string(BODY_BYTES, 'x') };
    });
    std::vector<RawSocket> clients;
    for (std::size_t i = 0; i < CLIENTS; ++i) {
        clients.push_back(connect());
        std::string requests = get("/first");
        for (int further = 0; further < 7; ++further) {
            requests += get("/further");
        }
        clients.back().send(requests);
    }
    CHECK(m_runner.reaches([&] { return firstCount == CLIENTS; }));
    const PipelineStats held = stats();
    CHECK(held.started > 0);
    CHECK(held.bytes <= m_limits.pipelinedServerBytes);
    CHECK(maxBytes <= m_limits.pipelinedServerBytes);
    clients.clear();
    CHECK(reachesConnections(0));
    checkNothingHeld();
}

/// Random requests in random pieces on several connections.
TEST(HttpPipeline, RandomInterleavingsKeepOrder)
{
    constexpr unsigned SEED = 7;
    constexpr int ROUNDS = 60;
    constexpr int REQUESTS = 25;
    std::map<ConnectionTally *, int> running;
    std::map<ConnectionTally *, int> runningOnce;
    std::minstd_rand handlerRandom(SEED);
    bool ranBesideOnce = false;
    bool ranTogether = false;
    listen([&](IHttpExchange &exchange) {
        const bool isOnce = exchange.request().method == "POST";
        ConnectionTally *connection = &exchange.tally();
        const int others = running[connection]++;
        ranBesideOnce |= runningOnce[connection] > 0 || (isOnce && others > 0);
        ranTogether |= others > 0;
        runningOnce[connection] += isOnce ? 1 : 0;
        m_runner.loop().sleepFor(std::chrono::microseconds(handlerRandom() % 1000));
        --running[connection];
        runningOnce[connection] -= isOnce ? 1 : 0;
        return HttpResponse{ 200, {}, '<' + exchange.request().target + '>' };
    });
    std::minstd_rand random(SEED);
    for (int round = 0; round < ROUNDS; ++round) {
        RawSocket client = connect();
        std::string text;
        for (int i = 0; i < REQUESTS; ++i) {
            const std::string body(random() % 50, 'b');
            text += request(random() % 4 == 0 ? "POST" : "PUT", '/' + std::to_string(i),
                            "Content-Length: " + std::to_string(body.size()) + "\r\n")
                + body;
        }
        for (std::size_t sent = 0; sent < text.size();) {
            const std::size_t count = 1 + random() % 300;
            client.send(text.substr(sent, count));
            sent += count;
        }
        for (int i = 0; i < REQUESTS; ++i) {
            CHECK(contains(client.readUntil(">"), "</" + std::to_string(i) + '>'));
        }
    }
    CHECK_FALSE(ranBesideOnce);
    CHECK(ranTogether);
    checkNothingHeld();
}
