#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

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
const std::string HEAD_END = "\r\n\r\n";

/// A server on its own thread whose script controls every byte.
class ScriptedServer
{
public:
    ScriptedServer()
        : m_listener(RawSocket::listenOn(ANY_PORT))
    {
    }
    ~ScriptedServer() { join(); }

    Endpoint endpoint() const { return m_listener.localEndpoint(); }
    void run(std::function<void(RawSocket &listener)> script)
    {
        m_thread = std::thread([this, script = std::move(script)] { script(m_listener); });
    }
    /// To be called at the end of a test whose script refers to local variables: otherwise the
    /// script could use them after their destruction.
    void join()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    void stopListening() { m_listener.close(); }

private:
    RawSocket m_listener;
    std::thread m_thread;
};

std::string makeResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + HEAD_END + body;
}

HttpRequest makeGet(const std::string &target)
{
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    return request;
}

const std::string ECHO_HEADER = "X-Id";

HttpRequest makeGetWithId(const std::string &id)
{
    HttpRequest request = makeGet("/");
    request.headers = { { ECHO_HEADER, id } };
    return request;
}

std::string makeResponseWithId(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + ECHO_HEADER + ": " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + HEAD_END + body;
}

std::string idOf(const std::string &head)
{
    const auto begin = head.find(ECHO_HEADER);
    return begin == std::string::npos
        ? std::string()
        : head.substr(begin + ECHO_HEADER.size() + 2, head.find('\r', begin) - begin - 6);
}

/// Responds with `body` to all requests. Returns when the client closes the connection.
void serveOnConnection(RawSocket peer, const std::string &body)
{
    for (std::string head; !(head = peer.readUntil(HEAD_END)).empty();) {
        peer.send(makeResponseWithId(idOf(head), body));
    }
}

/// Responds with "first" to the first request on a connection and with "later" to all others, which
/// are preceded by a late copy of the first response. Returns when the client closes the
/// connection.
void serveWithLateCopies(RawSocket peer)
{
    std::string copy;
    for (std::string head; !(head = peer.readUntil(HEAD_END)).empty();) {
        const std::string response =
            makeResponseWithId(idOf(head), copy.empty() ? "first" : "later");
        peer.send(copy + response);
        copy = copy.empty() ? response : copy;
    }
}

} // namespace

TEST_GROUP(HttpClient)
{
    LoopRunner m_runner;
    HttpClientLimits m_limits;
    std::unique_ptr<IHttpClient> m_client;
    ScriptedServer m_server;
    Endpoint m_endpoint = m_server.endpoint();
    HttpCancellationPtr m_cancellation;

    void makeClient()
    {
        m_runner.run([&] { m_client = makeHttpClient(m_runner.loop(), m_limits); });
    }

    void teardown() override
    {
        m_runner.run([&] { m_client.reset(); });
    }

    HttpResult exchange(const HttpRequest &request, Duration timeout = seconds(20))
    {
        if (!m_client) {
            makeClient();
        }
        HttpResult result;
        m_runner.run(
            [&] { result = m_client->exchange(m_endpoint, request, timeout, m_cancellation); });
        return result;
    }

    /// Sends the same request a second time and ends the server's script, whether or not that
    /// opened a second connection. Returns the second body.
    std::string bodyOfRepeat()
    {
        STRCMP_EQUAL("first", exchange(makeGetWithId("7"))->body.c_str());
        const HttpResult repeat = exchange(makeGetWithId("7"), seconds(2));
        m_runner.run([&] { m_client.reset(); });
        RawSocket::connectTo(m_endpoint);
        m_server.join();
        return repeat ? repeat->body : "no response";
    }

    /// The result when the server responds with `bytes` and closes the connection.
    HttpResult resultOf(const std::string &bytes, const std::string &method = "GET")
    {
        ScriptedServer server;
        m_endpoint = server.endpoint();
        server.run([&](RawSocket &listener) {
            RawSocket peer = listener.accept();
            peer.readUntil(HEAD_END);
            peer.send(bytes);
        });
        HttpRequest request = makeGet("/");
        request.method = method;
        return exchange(request);
    }

    void checkFailure(const HttpResult &result, HttpFailureStage stage, HttpFailureCause cause,
                      const char *text = "")
    {
        CHECK_FALSE_TEXT(result.has_value(), text);
        CHECK_TRUE_TEXT(result.error().stage == stage, text);
        CHECK_TRUE_TEXT(result.error().cause == cause, text);
    }
};

TEST(HttpClient, ReusesConnection)
{
    m_server.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        while (!peer.readUntil(HEAD_END).empty()) {
            peer.send(makeResponse("hello"));
        }
    });
    for (int i = 0; i < 3; ++i) {
        const HttpResult result = exchange(makeGet("/"));
        CHECK(result.has_value());
        CHECK_EQUAL(200, result->status);
        STRCMP_EQUAL("hello", result->body.c_str());
    }
    m_runner.run([&] { m_client.reset(); });
}

TEST(HttpClient, ReplacesFramingFieldsOfRequest)
{
    std::string received;
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        received = peer.readUntil("body");
        peer.send("HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\nConnection: X-Hop\r\n"
                  "X-Hop: 1\r\nKeep-Alive: 5\r\nX-End: 2\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    HttpRequest request = makeGet("/x?y");
    request.method = "POST";
    request.body = "body";
    request.headers = { { "X-A", "1" },
                        { "Connection", "close" },
                        { "Transfer-Encoding", "chunked" },
                        { "Content-Length", "77" },
                        { "Proxy-Authorization", "p" } };
    const HttpResult result = exchange(request);
    STRCMP_EQUAL(("POST /x?y HTTP/1.1\r\nHost: " + m_endpoint.text()
                  + "\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody")
                     .c_str(),
                 received.c_str());
    CHECK(result.has_value());
    CHECK_EQUAL(201, result->status);
    STRCMP_EQUAL("abc", result->body.c_str());
    CHECK_EQUAL(1, result->headers.size());
    STRCMP_EQUAL("X-End", result->headers.front().name.c_str());
    m_server.join();
}

TEST(HttpClient, RejectsUnsafeRequest)
{
    HttpRequest request = makeGet("/");
    request.headers = { { "X", "a\r\nEvil: 1" } };
    checkFailure(exchange(request), HttpFailureStage::NotSent, HttpFailureCause::Broken);
    checkFailure(exchange(makeGet("/ HTTP/1.1\r\nEvil: 1")), HttpFailureStage::NotSent,
                 HttpFailureCause::Broken);
    checkFailure(exchange(makeGet("")), HttpFailureStage::NotSent, HttpFailureCause::Broken);
}

TEST(HttpClient, ResponsesWithoutBodyAreComplete)
{
    const HttpResult head = resultOf("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n", "HEAD");
    CHECK(head.has_value());
    CHECK_EQUAL(0, head->body.size());
    CHECK_EQUAL(204, resultOf("HTTP/1.1 204 No Content\r\n\r\n")->status);
    CHECK_EQUAL(304, resultOf("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n")->status);
}

TEST(HttpClient, SkipsInterimResponses)
{
    const HttpResult result =
        resultOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + makeResponse("x"));
    CHECK(result.has_value());
    STRCMP_EQUAL("x", result->body.c_str());
}

/// The server accepts the request, and its response is truncated, violates the protocol, or ends in
/// a way that is indistinguishable from a crash. The request may have been processed; no part of
/// the response is passed on.
TEST(HttpClient, IncompleteOrMalformedResponseIsAFailure)
{
    m_limits.bodyBytes = 1000;
    m_limits.headerBytes = 1000;
    const std::string big(3000, 'x');
    for (const std::string &bytes :
         { std::string(), std::string("HTTP/1.1 200"), std::string("HTTP/1.1 200 OK\r\nA: b\r\n"),
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"),
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc"),
           std::string("HTTP/1.1 200 OK\r\n\r\nuntil the end"),
           std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
           std::string("garbage\r\n\r\n"), makeResponse(big),
           std::string("HTTP/1.1 200 OK\r\nA: ").append(big).append(HEAD_END) }) {
        checkFailure(resultOf(bytes), HttpFailureStage::MaybeSent, HttpFailureCause::Broken,
                     bytes.c_str());
    }
}

TEST(HttpClient, RefusedConnectIsReportedAsNotSent)
{
    m_server.stopListening();
    checkFailure(exchange(makeGet("/")), HttpFailureStage::NotSent, HttpFailureCause::Connect);
    m_endpoint.address = "no-number";
    checkFailure(exchange(makeGet("/")), HttpFailureStage::NotSent, HttpFailureCause::Connect);
}

TEST(HttpClient, ResetAfterRequestIsReportedAsMaybeSent)
{
    m_server.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.reset();
    });
    checkFailure(exchange(makeGet("/")), HttpFailureStage::MaybeSent, HttpFailureCause::Broken);
}

/// The server closes the connection after its first response, without `Connection: close`. The
/// client detects this before it writes the second request and sends it on a new connection.
TEST(HttpClient, ReplacesIdleConnectionClosedByServer)
{
    std::promise<void> isClosed;
    m_server.run([&](RawSocket &listener) {
        {
            RawSocket peer = listener.accept();
            peer.readUntil(HEAD_END);
            peer.send(makeResponse("first"));
        }
        isClosed.set_value();
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("second"));
    });
    STRCMP_EQUAL("first", exchange(makeGet("/1"))->body.c_str());
    isClosed.get_future().wait();
    STRCMP_EQUAL("second", exchange(makeGet("/2"))->body.c_str());
    m_server.join();
}

/// After its response the server sends an unsolicited second one. Taken as the response to the next
/// request, it would reach the wrong caller; the connection must not be reused.
TEST(HttpClient, UnsolicitedBytesAreNeverTakenAsResponse)
{
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("first") + makeResponse("unasked"));
        RawSocket next = listener.accept();
        next.readUntil(HEAD_END);
        next.send(makeResponse("second"));
    });
    STRCMP_EQUAL("first", exchange(makeGet("/1"))->body.c_str());
    STRCMP_EQUAL("second", exchange(makeGet("/2"))->body.c_str());
    m_server.join();
}

TEST(HttpClient, DoesNotReuseConnectionMarkedClose)
{
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        RawSocket next = listener.accept();
        next.readUntil(HEAD_END);
        next.send(makeResponse("second"));
    });
    CHECK(exchange(makeGet("/1")).has_value());
    STRCMP_EQUAL("second", exchange(makeGet("/2"))->body.c_str());
    m_server.join();
}

/// The response arrives after the timeout. The exchange fails with MaybeSent and its connection is
/// closed, so that the late response cannot be taken for that of the next request.
TEST(HttpClient, LateResponseIsDiscarded)
{
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.readToEnd();
        peer.send(makeResponse("late"));
        RawSocket next = listener.accept();
        next.readUntil(HEAD_END);
        next.send(makeResponse("second"));
    });
    checkFailure(exchange(makeGet("/1"), milliseconds(20)), HttpFailureStage::MaybeSent,
                 HttpFailureCause::Timeout);
    STRCMP_EQUAL("second", exchange(makeGet("/2"))->body.c_str());
    m_server.join();
}

TEST(HttpClient, CancellationClosesTheConnection)
{
    std::promise<void> isReceived;
    std::string rest = "not read";
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        isReceived.set_value();
        rest = peer.readToEnd();
    });
    makeClient();
    HttpResult result;
    m_runner.run([&] { m_cancellation = HttpCancellationPtr(new HttpCancellation); });
    auto done = m_runner.start(
        [&] { result = m_client->exchange(m_endpoint, makeGet("/"), hours(1), m_cancellation); });
    isReceived.get_future().wait();
    m_runner.run([&] { m_cancellation->cancel(); });
    done.wait();
    checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::Cancelled);
    m_server.join();
    STRCMP_EQUAL("", rest.c_str());
    checkFailure(exchange(makeGet("/")), HttpFailureStage::NotSent, HttpFailureCause::Cancelled);
}

/// The server stops reading, so a large request is only partly written when it is cancelled. The
/// failure must be MaybeSent: the server may act on the part that was sent.
TEST(HttpClient, CancelledPartialRequestIsReportedAsMaybeSent)
{
    std::promise<void> isReceived;
    std::promise<void> mayEnd;
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        isReceived.set_value();
        mayEnd.get_future().wait();
    });
    makeClient();
    HttpRequest request = makeGet("/");
    request.method = "POST";
    request.body = std::string(64 * 1024 * 1024, 'x');
    HttpResult result;
    m_runner.run([&] { m_cancellation = HttpCancellationPtr(new HttpCancellation); });
    auto done = m_runner.start(
        [&] { result = m_client->exchange(m_endpoint, request, hours(1), m_cancellation); });
    isReceived.get_future().wait();
    m_runner.run([&] { m_cancellation->cancel(); });
    done.wait();
    checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::Cancelled);
    mayEnd.set_value();
    m_server.join();
}

TEST(HttpClient, EnforcesConnectionLimitOfEndpoint)
{
    std::promise<void> isReceived;
    std::promise<void> mayAnswer;
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        isReceived.set_value();
        mayAnswer.get_future().wait();
        peer.send(makeResponse("a"));
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("b"));
    });
    makeClient();
    m_runner.run([&] { m_client->setConnectionLimit(m_endpoint, 1); });
    HttpResult first;
    auto done = m_runner.start(
        [&] { first = m_client->exchange(m_endpoint, makeGet("/1"), seconds(20), {}); });
    isReceived.get_future().wait();
    checkFailure(exchange(makeGet("/2")), HttpFailureStage::NotSent,
                 HttpFailureCause::NoConnection);
    mayAnswer.set_value();
    done.wait();
    STRCMP_EQUAL("a", first->body.c_str());
    STRCMP_EQUAL("b", exchange(makeGet("/3"))->body.c_str());
    m_server.join();
}

TEST(HttpClient, PreconnectedConnectionsAreUsed)
{
    std::promise<void> isAccepted;
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        isAccepted.set_value();
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("warm"));
    });
    makeClient();
    m_runner.run([&] {
        m_client->setConnectionLimit(m_endpoint, 1);
        m_client->preconnect(m_endpoint, 5);
    });
    isAccepted.get_future().wait();
    // The limit is 1: none is available while the preconnected one is still being opened.
    HttpResult result = exchange(makeGet("/"));
    while (!result && result.error().cause == HttpFailureCause::NoConnection) {
        result = exchange(makeGet("/"));
    }
    STRCMP_EQUAL("warm", result->body.c_str());
    m_server.join();
}

TEST(HttpClient, IdleConnectionsAreClosed)
{
    m_limits.idleTimeout = milliseconds(10);
    std::string rest = "not read";
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("a"));
        rest = peer.readToEnd();
    });
    CHECK(exchange(makeGet("/")).has_value());
    m_server.join();
    STRCMP_EQUAL("", rest.c_str());
}

/// The client is destroyed during a request: the exchange fails with the correct stage.
TEST(HttpClient, DestructionCancelsExchanges)
{
    std::promise<void> isReceived;
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        isReceived.set_value();
        peer.readToEnd();
    });
    makeClient();
    HttpResult result;
    auto done = m_runner.start(
        [&] { result = m_client->exchange(m_endpoint, makeGet("/"), hours(1), {}); });
    isReceived.get_future().wait();
    m_runner.run([&] { m_client.reset(); });
    done.wait();
    checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::Cancelled);
    m_server.join();
}

/// The server rejects a body by its declared length, responds at once and discards the remaining
/// input. The client receives that response although it arrives while the request is still being
/// written.
TEST(HttpClient, AcceptsResponseSentBeforeWholeRequest)
{
    std::unique_ptr<IHttpServer> server;
    HttpLimits limits;
    limits.bodyBytes = 1000;
    m_runner.run([&] {
        server = makeHttpServer(m_runner.loop());
        m_endpoint =
            server->listen(ANY_PORT, limits, [](IHttpExchange &) { return HttpResponse(); })
                .value();
    });
    HttpRequest request = makeGet("/");
    request.method = "POST";
    request.body = std::string(1024 * 1024, 'x');
    const HttpResult result = exchange(request);
    m_runner.run([&] { server.reset(); });
    CHECK(result.has_value());
    CHECK_EQUAL(413, result->status);
}

// Guards against a late copy of a response that is taken for the response to the same request when
// it is sent again.
TEST(HttpClient, LateCopyIsNotTakenForResponseToARepeat)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_server.run([](RawSocket &listener) {
        std::thread first(serveWithLateCopies, listener.accept());
        RawSocket peer = listener.accept();
        const std::string id = idOf(peer.readUntil(HEAD_END));
        peer.send(makeResponseWithId(id, "repeat"));
        peer.readToEnd();
        first.join();
    });
    STRCMP_EQUAL("repeat", bodyOfRepeat().c_str());
}

// Guards against a repeat that is refused because all connections of the limit carried the request.
TEST(HttpClient, RepeatAtTheConnectionLimitReplacesAnIdleConnection)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_limits.connectionsPerEndpoint = 1;
    m_server.run([](RawSocket &listener) {
        serveWithLateCopies(listener.accept());
        serveOnConnection(listener.accept(), "repeat");
    });
    STRCMP_EQUAL("repeat", bodyOfRepeat().c_str());
}

// Guards against new connections for requests that an idle connection has not carried.
TEST(HttpClient, OtherRequestsReuseConnectionsOfARepeatedOne)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_limits.connectionsPerEndpoint = 2;
    m_server.run([](RawSocket &listener) {
        std::thread first(serveOnConnection, listener.accept(), "a");
        serveOnConnection(listener.accept(), "b");
        first.join();
    });
    std::string connections;
    for (const char *id : { "1", "1", "2", "2", "3", "3" }) {
        const HttpResult result = exchange(makeGetWithId(id), seconds(2));
        connections += result ? result->body : "-";
    }
    m_runner.run([&] { m_client.reset(); });
    m_server.join();
    STRCMP_EQUAL("abbaab", connections.c_str());
}

// Guards against a late copy of a rejection that is taken for a rejection of the next request,
// which runs, if the server echoes no id.
TEST(HttpClient, LateCopyOfARejectionFindsItsConnectionClosed)
{
    m_limits.reusesAfterUnavailable = false;
    const std::string rejection = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0" + HEAD_END;
    m_server.run([&rejection](RawSocket &listener) {
        RawSocket first = listener.accept();
        first.readUntil(HEAD_END);
        first.send(rejection);
        if (!first.readUntil(HEAD_END).empty()) {
            first.send(rejection + makeResponse("run"));
            return;
        }
        serveOnConnection(listener.accept(), "run");
    });
    CHECK_EQUAL(503, exchange(makeGet("/"))->status);
    STRCMP_EQUAL("run", exchange(makeGet("/"))->body.c_str());
    m_runner.run([&] { m_client.reset(); });
    m_server.join();
}

// Guards against a log that cannot tell a response to another request from the one that decided.
TEST(HttpClient, ReportsConnectionAndDiscardedResponses)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_server.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        const std::string copy = makeResponseWithId(idOf(peer.readUntil(HEAD_END)), "first");
        peer.send(copy);
        const std::string id = idOf(peer.readUntil(HEAD_END));
        peer.send(copy + "HTTP/1.1 102 Processing\r\n\r\n" + makeResponseWithId(id, "second"));
        peer.readToEnd();
    });
    const HttpSendReport first = exchange(makeGetWithId("1")).send;
    const HttpSendReport second = exchange(makeGetWithId("2")).send;
    m_runner.run([&] { m_client.reset(); });
    m_server.join();
    CHECK_EQUAL(1, first.connection);
    CHECK_EQUAL(0, first.earlierRequests);
    CHECK(first.sentBytes > 0);
    CHECK_EQUAL(0, first.foreignResponses + first.interimResponses);
    CHECK_EQUAL(1, second.connection);
    CHECK_EQUAL(1, second.earlierRequests);
    CHECK_EQUAL(1, second.foreignResponses);
    CHECK_EQUAL(1, second.interimResponses);
}

// Guards against a copy of a health check's response that is taken for the response to a request.
TEST(HttpClient, ResponseWithoutIdIsNotTakenOnAReusedConnection)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_server.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.send(makeResponseWithId(idOf(peer.readUntil(HEAD_END)), "first"));
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("of no request"));
    });
    STRCMP_EQUAL("first", exchange(makeGetWithId("1"))->body.c_str());
    checkFailure(exchange(makeGetWithId("2")), HttpFailureStage::MaybeSent,
                 HttpFailureCause::Broken);
    m_server.join();
}

// Guards against late copies that no id identifies: a server that echoes none gets a new connection
// for each request.
TEST(HttpClient, ConnectionIsNotReusedAfterAResponseWithoutId)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_server.run([](RawSocket &listener) {
        std::vector<RawSocket> peers;
        for (int i = 0; i < 3; ++i) {
            peers.push_back(listener.accept());
            peers.back().readUntil(HEAD_END);
            peers.back().send(makeResponse(std::to_string(i)));
        }
    });
    std::string bodies;
    for (const HttpRequest &request :
         { makeGetWithId("1"), makeGet("/health"), makeGetWithId("2") }) {
        const HttpResult result = exchange(request, seconds(2));
        bodies += result ? result->body : "-";
    }
    m_runner.run([&] { m_client.reset(); });
    RawSocket::connectTo(m_endpoint);
    RawSocket::connectTo(m_endpoint);
    m_server.join();
    STRCMP_EQUAL("012", bodies.c_str());
}

// Guards against a late copy of a response that is taken for the response to a health check.
TEST(HttpClient, LateCopyIsNotTakenForResponseToARequestWithoutId)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_server.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        const std::string copy = makeResponseWithId(idOf(peer.readUntil(HEAD_END)), "first");
        peer.send(copy);
        peer.readUntil(HEAD_END);
        peer.send(copy + makeResponse("healthy"));
    });
    STRCMP_EQUAL("first", exchange(makeGetWithId("1"))->body.c_str());
    STRCMP_EQUAL("healthy", exchange(makeGet("/health"))->body.c_str());
    m_server.join();
}

// Guards against a response whose server stopped halfway, and that is passed on as whole.
TEST(HttpClient, ResponseThatEndsEarlyIsAFailure)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_limits.acceptsUnframedResponses = true;
    const std::string head = "HTTP/1.1 200 OK\r\n" + ECHO_HEADER + ": 1\r\n";
    const std::string unframed = head + "X-Last: b\r\n\r\n";
    const std::string responses[] = {
        makeResponseWithId("1", "0123456789"),
        "HTTP/1.1 102 Processing\r\n\r\n" + makeResponseWithId("1", "0123456789"),
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
        unframed,
    };
    for (const std::string &response : responses) {
        for (std::size_t size = 0; size < response.size(); ++size) {
            ScriptedServer server;
            m_endpoint = server.endpoint();
            server.run([&](RawSocket &listener) {
                RawSocket peer = listener.accept();
                peer.readUntil(HEAD_END);
                peer.send(response.substr(0, size));
            });
            const HttpResult result = exchange(makeGetWithId("1"), seconds(10));
            server.join();
            CHECK_FALSE(result.has_value());
        }
    }
}

// Guards against a part of a response that is passed on as whole because the write of the request
// took the error of the connection, so that the read after it saw an orderly end.
TEST(HttpClient, UnframedResponseToARequestThatWasNotSentWholeIsAFailure)
{
    constexpr std::size_t UPLOAD_BYTES = 20'000'000;
    m_limits.echoHeader = ECHO_HEADER;
    m_limits.acceptsUnframedResponses = true;
    const std::string rest =
        " 200 OK\r\n" + ECHO_HEADER + ": 1" + HEAD_END + std::string(2000, 'x');
    for (const char *version : { "HTTP/1.1", "HTTP/1.0" }) {
        for (const bool isReset : { true, false }) {
            for (const milliseconds delay : { milliseconds(0), milliseconds(100) }) {
                ScriptedServer server;
                m_endpoint = server.endpoint();
                server.run([&](RawSocket &listener) {
                    RawSocket peer = listener.accept();
                    peer.readUntil(HEAD_END);
                    peer.send(version + rest);
                    std::this_thread::sleep_for(delay);
                    isReset ? peer.reset() : peer.close();
                });
                HttpRequest request = makeGetWithId("1");
                request.method = "POST";
                request.body = std::string(UPLOAD_BYTES, 'u');
                const HttpResult result = exchange(request);
                server.join();
                checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::Broken);
            }
        }
    }
}

// Guards against a status that is none and is taken for that of an interim response, after which
// the caller waits until its deadline.
TEST(HttpClient, ResponseWithAStatusBelow100FailsAtOnce)
{
    for (const char *status : { "000", "001", "099" }) {
        ScriptedServer server;
        m_endpoint = server.endpoint();
        server.run([&](RawSocket &listener) {
            RawSocket peer = listener.accept();
            peer.readUntil(HEAD_END);
            peer.send(std::string("HTTP/1.1 ") + status + " Oops\r\nContent-Length: 2\r\n\r\nok");
            peer.readToEnd();
        });
        const HttpResult result = exchange(makeGet("/"), hours(1));
        server.join();
        checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::Broken, status);
    }
}

// Guards against a line that is no field and changes the value of the field before it.
TEST(HttpClient, ResponseWithAContinuationLineIsAFailure)
{
    for (const std::string line : { " X-First: v", "\tX-First: v", " ", " Content-Length: 2" }) {
        for (const std::string before :
             { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nStamp: s\r\n" }) {
            const std::string bytes = before + line + "\r\nContent-Length: 2\r\n\r\nok";
            checkFailure(resultOf(bytes), HttpFailureStage::MaybeSent, HttpFailureCause::Broken,
                         bytes.c_str());
        }
    }
}

// Guards against a field name that holds a blank or a control byte.
TEST(HttpClient, ResponseWithAnInvalidFieldNameIsAFailure)
{
    using namespace std::string_literals;
    for (const std::string &name :
         { "X Y"s, "X\tY"s, "X\0Y"s, "X\x01Y"s, "X\x7fY"s, "X\xe9Y"s, "X(Y"s, "X "s, ""s }) {
        const std::string bytes =
            "HTTP/1.1 200 OK\r\n" + name + ": v\r\nContent-Length: 2\r\n\r\nok";
        checkFailure(resultOf(bytes), HttpFailureStage::MaybeSent, HttpFailureCause::Broken,
                     name.c_str());
    }
}

// Guards against responses without end whose sum exhausts the memory, and against one that costs
// the other exchanges theirs.
TEST(HttpClient, ResponsesWithoutEndStayWithinTheBudget)
{
    constexpr std::size_t BUDGET = 8 * 1024 * 1024;
    constexpr int ENDLESS = 10;
    const std::string sound(BUDGET / 64, 's');
    m_limits.bodyBytes = 4 * BUDGET;
    m_limits.bodyBudget = makeBodyBudget(BUDGET);
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    makeClient();
    std::vector<std::future<void>> exchanges;
    std::vector<HttpResult> results(ENDLESS);
    for (HttpResult &result : results) {
        servers.push_back(std::make_unique<ScriptedServer>());
        servers.back()->run([](RawSocket &listener) {
            RawSocket peer = listener.accept();
            peer.readUntil(HEAD_END);
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (peer.send("3e8\r\n" + std::string(1000, 'x') + "\r\n")) { }
        });
        exchanges.push_back(m_runner.start([&, endpoint = servers.back()->endpoint()] {
            result = m_client->exchange(endpoint, makeGet("/"), seconds(20), {});
        }));
    }
    STRCMP_EQUAL(sound.c_str(), resultOf(makeResponse(sound))->body.c_str());
    for (std::future<void> &each : exchanges) {
        each.wait();
    }
    servers.clear();
    for (const HttpResult &result : results) {
        checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::NoRoom);
    }
    LONGS_EQUAL(0, m_limits.bodyBudget->usage(MessageKind::Response).bytes);
}

// Guards against a response without end, in its head or its body, that exhausts the memory or is
// read until the timeout.
TEST(HttpClient, ResponseWithoutEndIsAFailure)
{
    m_limits.echoHeader = ECHO_HEADER;
    m_limits.acceptsUnframedResponses = true;
    m_limits.headerBytes = 16 * 1024;
    m_limits.bodyBytes = 1024 * 1024;
    const std::string bytes(4000, 'x');
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string other = makeResponseWithId("other", bytes);
    const std::pair<std::string, std::string> streams[] = {
        { "", bytes },
        { ok + "A: ", bytes },
        { ok, "A: " + bytes + "\r\n" },
        { ok + "\r\n", bytes },
        { ok + "Content-Length: 99999999" + HEAD_END, bytes },
        { ok + "Transfer-Encoding: chunked" + HEAD_END, "fa0\r\n" + bytes + "\r\n" },
        { ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + bytes + "\r\n" },
        { "HTTP/1.1 100 Continue\r\n\r\n" + ok + "\r\n", bytes },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "", other },
    };
    for (const auto &[head, rest] : streams) {
        ScriptedServer server;
        m_endpoint = server.endpoint();
        server.run([&, &head = head, &rest = rest](RawSocket &listener) {
            RawSocket peer = listener.accept();
            peer.readUntil(HEAD_END);
            peer.send(head);
            while (peer.send(rest)) { }
        });
        const HttpResult result = exchange(makeGetWithId("1"), seconds(10));
        server.join();
        checkFailure(result, HttpFailureStage::MaybeSent, HttpFailureCause::Broken,
                     (head + rest.substr(0, 30)).c_str());
    }
}

// Guards against calls that wait behind a response without end of another call.
TEST(HttpClient, OtherExchangesAreServedBesideAResponseWithoutEnd)
{
    ScriptedServer endless;
    endless.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (peer.send("1\r\nx\r\n")) { }
    });
    m_server.run([](RawSocket &listener) { serveOnConnection(listener.accept(), "other"); });
    makeClient();
    const HttpCancellationPtr cancellation(new HttpCancellation);
    const Endpoint endpoint = endless.endpoint();
    auto done =
        m_runner.start([&] { m_client->exchange(endpoint, makeGet("/"), hours(1), cancellation); });
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        served += exchange(makeGet("/"), seconds(5)) ? 1 : 0;
    }
    m_runner.run([&] { cancellation->cancel(); });
    done.wait();
    m_runner.run([&] { m_client.reset(); });
    endless.join();
    m_server.join();
    CHECK_EQUAL(20, served);
}

// Guards against bytes on an idle connection that fill the kernel's buffer until the idle timeout.
TEST(HttpClient, IdleConnectionWithUnreadBytesIsClosed)
{
    constexpr int TRIES = 1000;
    m_limits.idleTimeout = hours(1);
    std::promise<void> isIdle;
    bool isClosed = false;
    m_server.run([&](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("first"));
        isIdle.get_future().wait();
        for (int i = 0; i < TRIES && !isClosed; ++i) {
            isClosed = !peer.send("x");
            std::this_thread::sleep_for(milliseconds(5));
        }
    });
    CHECK(exchange(makeGet("/")).has_value());
    isIdle.set_value();
    m_server.join();
    CHECK(isClosed);
}

// Guards against a server that counts as running after its crash because its pool is full.
TEST(HttpClient, ServerThatHasEndedIsNotListeningAtTheConnectionLimit)
{
    m_limits.connectionsPerEndpoint = 1;
    m_server.run([](RawSocket &listener) {
        RawSocket peer = listener.accept();
        peer.readUntil(HEAD_END);
        peer.send(makeResponse("first"));
        listener.close();
    });
    CHECK(exchange(makeGet("/")).has_value());
    m_server.join();
    bool isListening = true;
    m_runner.run([&] { isListening = m_client->isListening(m_endpoint); });
    CHECK_FALSE(isListening);
}
