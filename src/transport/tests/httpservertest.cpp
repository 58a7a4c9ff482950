#include <atomic>
#include <string>

#include "transport/oneshot.h"
#include "transport/tests/loopback.h"
#include "transport/tests/looprunner.h"
#include "transport/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint ANY_PORT = ownLoopback();

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

HttpResponse echo(const HttpRequest &request)
{
    HttpResponse response;
    response.body = request.method + ' ' + request.target + ' ' + request.body.text();
    for (const auto &header : request.headers) {
        response.body += '|' + header.name + '=' + header.value;
    }
    return response;
}

} // namespace

TEST_GROUP(HttpServer)
{
    LoopRunner m_runner;
    std::unique_ptr<IHttpServer> m_server;
    Endpoint m_endpoint;
    HttpLimits m_limits;
    std::unique_ptr<OneShot<int>> m_gate;

    void listen(
        HttpHandler handler = [](IHttpExchange &exchange) { return echo(exchange.request()); })
    {
        m_runner.run([&] {
            m_gate = std::make_unique<OneShot<int>>(m_runner.loop());
            m_server = makeHttpServer(m_runner.loop());
            m_endpoint = m_server->listen(ANY_PORT, m_limits, handler).value();
        });
    }

    void openGate()
    {
        m_runner.run([&] { m_gate->set(1); });
    }

    /// Waits until the loop has left a handler that refers to local variables of the test.
    void settle()
    {
        m_runner.run([] {});
    }

    void teardown() override
    {
        m_runner.run([&] { m_server.reset(); });
    }

    RawSocket connect()
    {
        return RawSocket::connectTo(m_endpoint);
    }

    /// Everything that a client receives which sends `request` and then only reads.
    std::string responseTo(const std::string &request)
    {
        RawSocket client = connect();
        client.send(request);
        return client.readToEnd();
    }

    std::size_t connectionCount()
    {
        std::size_t count = 0;
        m_runner.run([&] { count = m_server->connectionCount(); });
        return count;
    }
};

TEST(HttpServer, KeepsConnectionAlive)
{
    listen();
    RawSocket client = connect();
    for (const char *target : { "/one", "/two", "/three" }) {
        client.send(get(target));
        const std::string head = client.readUntil("\r\n\r\n");
        CHECK(contains(head, "HTTP/1.1 200 OK\r\n"));
        CHECK_FALSE(contains(head, "Connection"));
        STRCMP_EQUAL((std::string("GET ") + target + " |Host=a").c_str(),
                     client.readUntil("|Host=a").c_str());
    }
    CHECK_EQUAL(1, connectionCount());
}

TEST(HttpServer, AnswersPipelinedRequestsInOrder)
{
    listen();
    const std::string last = "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n";
    const std::string answers = responseTo(get("/1") + get("/2") + last);
    const auto first = answers.find("GET /1");
    const auto second = answers.find("GET /2");
    const auto third = answers.find("GET /3");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
}

TEST(HttpServer, AcceptsBodiesWithLengthAndChunked)
{
    listen();
    CHECK(contains(responseTo("POST /a HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"
                              "hello"),
                   "POST /a hello"));
    CHECK(contains(responseTo("POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                              "Connection: close\r\n\r\n"
                              "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer-Field: t\r\n\r\n"),
                   "POST /b abcde"));
}

TEST(HttpServer, AcceptsRequestByteByByte)
{
    listen();
    RawSocket client = connect();
    for (const char c : std::string("POST /slow HTTP/1.1\r\nContent-Length: 3\r\n"
                                    "Connection: close\r\n\r\nabc")) {
        client.send(std::string(1, c));
    }
    CHECK(contains(client.readToEnd(), "POST /slow abc"));
}

TEST(HttpServer, HidesHopByHopFields)
{
    listen();
    const std::string answer =
        responseTo("GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: t\r\n"
                   "Keep-Alive: 3\r\nUpgrade: h2c\r\nProxy-Authorization: p\r\nX-End: 2\r\n\r\n");
    CHECK(contains(answer, "GET / |Host=a|X-End=2"));
    CHECK_EQUAL(answer.size() - 3, answer.find("d=2"));
}

TEST(HttpServer, DropsUnsafeAndHopByHopResponseFields)
{
    listen([](IHttpExchange &) {
        HttpResponse response;
        response.headers = { { "X-Good", "1" },
                             { "X-Bad", "1\r\nSet-Cookie: evil" },
                             { "Bad Name", "1" },
                             { "Content-Length", "99" },
                             { "Transfer-Encoding", "x" } };
        response.body = "ok";
        return response;
    });
    const std::string answer = responseTo("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nX-Good: 1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
                 answer.c_str());
}

TEST(HttpServer, HeadAndNoContentHaveNoBody)
{
    listen([](IHttpExchange &exchange) {
        HttpResponse response = echo(exchange.request());
        response.status = exchange.request().method == "DELETE" ? 204 : 200;
        return response;
    });
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\n",
                 responseTo("HEAD /ab HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
    STRCMP_EQUAL("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
                 responseTo("DELETE / HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
}

TEST(HttpServer, SendsContinueToAnExpectingClient)
{
    listen();
    RawSocket client = connect();
    client.send("POST /e HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n"
                "Connection: close\r\n\r\n");
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", client.readUntil("\r\n\r\n").c_str());
    client.send("ab");
    CHECK(contains(client.readToEnd(), "POST /e ab"));
}

/// Each client exceeds one limit. It gets the matching status and its connection is closed, even
/// while it is still sending: the rest of its input is read before closing, as a reset could
/// overtake the response.
TEST(HttpServer, RejectsInputOverLimits)
{
    m_limits.headerBytes = 1000;
    m_limits.bodyBytes = 1000;
    listen();
    const std::string big(3000, 'x');
    const std::string post = "POST / HTTP/1.1\r\n";
    CHECK(contains(responseTo("GET /" + big + " HTTP/1.1\r\n\r\n"), "HTTP/1.1 431 "));
    CHECK(contains(responseTo("GET / HTTP/1.1\r\nX: " + big + "\r\n\r\n"), "HTTP/1.1 431 "));
    std::string manyFields = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 1000; ++i) {
        manyFields += "X: y\r\n";
    }
    CHECK(contains(responseTo(manyFields), "HTTP/1.1 431 "));
    CHECK(contains(responseTo(post + "Content-Length: 3000\r\n\r\n" + big), "HTTP/1.1 413 "));
    CHECK(contains(responseTo(post + "Transfer-Encoding: chunked\r\n\r\nbb8\r\n" + big),
                   "HTTP/1.1 413 "));
    CHECK(
        contains(responseTo(post + "Transfer-Encoding: chunked\r\n\r\n1;" + big), "HTTP/1.1 400 "));
    CHECK(contains(responseTo(post + "Transfer-Encoding: chunked\r\n\r\n0\r\nT: " + big),
                   "HTTP/1.1 400 "));
}

/// When a header arrives field by field, the input buffer never holds more than the last field. The
/// limit must include the bytes already parsed, or such a client could exhaust the memory.
TEST(HttpServer, HeaderLimitCoversHeaderReceivedInPieces)
{
    m_limits.headerBytes = 1000;
    listen();
    RawSocket client = connect();
    client.send("GET / HTTP/1.1\r\n");
    for (int i = 0; i < 300; ++i) {
        if (!client.send("X-Field: y\r\n")) {
            break;
        }
    }
    CHECK(contains(client.readToEnd(), "HTTP/1.1 431 "));
}

TEST(HttpServer, RejectsMalformedRequests)
{
    listen();
    for (const char *request :
         { "nonsense\r\n\r\n", "GET / HTTP/3.0\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
           "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
           "\x16\x03\x01\x02\x05\x01\xff\xfe garbage\r\n\r\n" }) {
        CHECK_TRUE_TEXT(contains(responseTo(request), "HTTP/1.1 400 "), request);
    }
}

/// A client sends part of a request and then nothing, which would hold its connection indefinitely.
/// It gets 408 and its connection is closed; another client is served as usual.
TEST(HttpServer, TimesOutSlowSenders)
{
    m_limits.receiveTimeout = milliseconds(50);
    listen();
    RawSocket other = connect();
    CHECK(contains(responseTo("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"), "HTTP/1.1 408 "));
    CHECK(contains(responseTo("GET / HT"), "HTTP/1.1 408 "));
    other.send(get("/other"));
    CHECK(contains(other.readUntil("|Host=a"), "GET /other"));
}

TEST(HttpServer, ClosesIdleConnectionsSilently)
{
    m_limits.idleTimeout = milliseconds(20);
    listen();
    STRCMP_EQUAL("", responseTo("").c_str());
}

/// A client requests a large response and does not read it. When the kernel's buffers are full, the
/// server waits for the client and closes the connection after the send timeout.
TEST(HttpServer, DisconnectsClientsThatDoNotReadTheResponse)
{
    constexpr std::size_t BODY_BYTES = 64 * 1024 * 1024;
    m_limits.sendTimeout = milliseconds(20);
    listen([](IHttpExchange &) {
        HttpResponse response;
        response.body = std::string(BODY_BYTES, 'x');
        return response;
    });
    RawSocket client = connect();
    client.send(get("/"));
    CHECK(contains(client.readUntil("\r\n\r\n"), "200 OK"));
    m_runner.run([&] {
        while (m_server->connectionCount() > 0) {
            m_runner.loop().sleepFor(milliseconds(1));
        }
    });
    CHECK(client.readToEnd().size() < BODY_BYTES);
}

TEST(HttpServer, RejectsConnectionsOverLimit)
{
    m_limits.connections = 2;
    listen();
    RawSocket first = connect();
    RawSocket second = connect();
    first.send(get("/1"));
    second.send(get("/2"));
    first.readUntil("|Host=a");
    second.readUntil("|Host=a");
    CHECK(contains(responseTo(get("/3")), "HTTP/1.1 503 "));
    first.send(get("/4"));
    CHECK(contains(first.readUntil("|Host=a"), "GET /4"));
}

/// The client disconnects while its request is handled. The handler is notified once and can cancel
/// its work.
TEST(HttpServer, NotifiesHandlerOfClientDisconnect)
{
    std::atomic<int> calls = 0;
    std::promise<void> isHandling;
    std::promise<void> isNotified;
    listen([&](IHttpExchange &exchange) {
        exchange.onDisconnect([&] {
            ++calls;
            m_gate->set(1);
        });
        isHandling.set_value();
        m_gate->wait(hours(1));
        isNotified.set_value();
        return HttpResponse();
    });
    RawSocket client = connect();
    client.send(get("/"));
    isHandling.get_future().wait();
    client.close();
    isNotified.get_future().wait();
    settle();
    CHECK_EQUAL(1, calls.load());
}

// Guards against handling requests of clients that disconnected while their request was still
// unread in a busy process.
TEST(HttpServer, DetectsDisconnectBeforeRequestWasRead)
{
    std::promise<bool> isKnownToBeGone;
    listen([&](IHttpExchange &exchange) {
        bool isGone = false;
        exchange.onDisconnect([&isGone] { isGone = true; });
        isKnownToBeGone.set_value(isGone);
        return HttpResponse();
    });
    std::promise<void> hasLeft;
    m_runner.loop().post([&] { hasLeft.get_future().wait(); });
    RawSocket client = connect();
    client.send(get("/"));
    client.close();
    hasLeft.set_value();
    CHECK(isKnownToBeGone.get_future().get());
    settle();
}

/// A pipelined request that arrives while the first one is handled must not be reported as a
/// disconnect.
TEST(HttpServer, PipelinedRequestIsNotADisconnect)
{
    std::atomic<int> calls = 0;
    std::promise<void> isHandling;
    listen([&](IHttpExchange &exchange) {
        if (exchange.request().target == "/1") {
            exchange.onDisconnect([&] { ++calls; });
            isHandling.set_value();
            m_gate->wait(hours(1));
            exchange.onDisconnect({});
        }
        return echo(exchange.request());
    });
    RawSocket client = connect();
    client.send(get("/1"));
    isHandling.get_future().wait();
    client.send(get("/2"));
    openGate();
    CHECK(contains(client.readUntil("|Host=a"), "GET /1"));
    CHECK(contains(client.readUntil("|Host=a"), "GET /2"));
    CHECK_EQUAL(0, calls.load());
}

/// The client disconnects after a pipelined request; the handler of the first one is still
/// notified.
TEST(HttpServer, DisconnectAfterPipelinedRequestIsDetected)
{
    std::promise<void> isHandling;
    std::promise<void> isNotified;
    std::atomic<bool> isFirst = true;
    listen([&](IHttpExchange &exchange) {
        if (isFirst.exchange(false)) {
            exchange.onDisconnect([&] { m_gate->set(1); });
            isHandling.set_value();
            m_gate->wait(hours(1));
            isNotified.set_value();
        }
        return HttpResponse();
    });
    RawSocket client = connect();
    client.send(get("/1"));
    isHandling.get_future().wait();
    client.send(get("/2"));
    client.close();
    isNotified.get_future().wait();
    settle();
}

TEST(HttpServer, HandlerExceptionGivesStatus500)
{
    listen(
        [](IHttpExchange &) -> HttpResponse { throw std::runtime_error("expected by the test"); });
    CHECK(contains(responseTo(get("/")), "HTTP/1.1 500 "));
}

/// A graceful shutdown while one request is being handled, one connection is idle and one has sent
/// part of a request. Both requests get complete responses with `Connection: close`; the idle
/// connection is closed; new connections are not accepted.
TEST(HttpServer, DrainCompletesRequestsInProgress)
{
    std::promise<void> isHandling;
    listen([&](IHttpExchange &exchange) {
        if (exchange.request().target == "/working") {
            isHandling.set_value();
            m_gate->wait(hours(1));
        }
        return echo(exchange.request());
    });
    RawSocket working = connect();
    RawSocket idle = connect();
    RawSocket partial = connect();
    idle.send(get("/idle"));
    idle.readUntil("|Host=a");
    partial.send("GET /half HT");
    working.send(get("/working"));
    isHandling.get_future().wait();
    auto drained = m_runner.start([&] { m_server->drain(seconds(20)); });
    STRCMP_EQUAL("", idle.readToEnd().c_str());
    partial.send("TP/1.1\r\nHost: a\r\n\r\n");
    const std::string partialResponse = partial.readToEnd();
    CHECK(contains(partialResponse, "Connection: close\r\n"));
    CHECK(contains(partialResponse, "GET /half"));
    openGate();
    const std::string answer = working.readToEnd();
    CHECK(contains(answer, "Connection: close\r\n"));
    CHECK(contains(answer, "GET /working"));
    drained.wait();
    CHECK_EQUAL(0, connectionCount());
    STRCMP_EQUAL("", connect().readToEnd().c_str());
}

TEST(HttpServer, DrainReturnsAfterTimeout)
{
    std::promise<void> isHandling;
    listen([&](IHttpExchange &) {
        isHandling.set_value();
        m_gate->wait(hours(1));
        return HttpResponse();
    });
    RawSocket client = connect();
    client.send(get("/"));
    isHandling.get_future().wait();
    m_runner.run([&] { m_server->drain(milliseconds(10)); });
    CHECK_EQUAL(1, connectionCount());
    openGate();
    CHECK(contains(client.readToEnd(), "HTTP/1.1 200 OK"));
}

/// Many clients send random bytes while another client sends requests and gets its own responses.
TEST(HttpServer, MalformedInputDoesNotAffectOtherClients)
{
    listen();
    RawSocket good = connect();
    std::uint32_t state = 12345;
    for (int round = 0; round < 200; ++round) {
        RawSocket bad = connect();
        std::string bytes;
        for (int i = 0; i < 300; ++i) {
            state = state * 1664525U + 1013904223U;
            bytes += static_cast<char>(state >> 24);
        }
        bad.send(bytes);
        if (round % 2 == 0) {
            bad.reset();
        }
        const std::string target = '/' + std::to_string(round);
        good.send(get(target));
        CHECK(contains(good.readUntil("|Host=a"), "GET " + target + " |Host=a"));
    }
}

TEST(HttpServer, ListensOnlyOnce)
{
    listen();
    bool listensTwice = true;
    bool takesUsedPort = true;
    bool takesName = true;
    m_runner.run([&] {
        const auto other = makeHttpServer(m_runner.loop());
        listensTwice = m_server->listen(ANY_PORT, m_limits, {}).has_value();
        takesUsedPort = other->listen(m_endpoint, m_limits, {}).has_value();
        takesName = other->listen(Endpoint{ "name", 0 }, m_limits, {}).has_value();
    });
    CHECK_FALSE(listensTwice);
    CHECK_FALSE(takesUsedPort);
    CHECK_FALSE(takesName);
}
