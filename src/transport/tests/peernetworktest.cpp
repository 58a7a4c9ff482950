#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
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

/// Records the events of links and lets the test's thread wait for them.
class RecordingHandler : public IPeerHandler
{
public:
    void onFrame(LinkId link, std::string frame) override
    {
        const std::lock_guard lock(m_mutex);
        m_frames.emplace_back(link, std::move(frame));
        m_changed.notify_all();
    }

    void onLinkDown(LinkId link) override
    {
        const std::lock_guard lock(m_mutex);
        m_down.push_back(link);
        m_changed.notify_all();
    }

    std::vector<std::pair<LinkId, std::string>> waitForFrames(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, seconds(20), [&] { return m_frames.size() >= count; });
        return m_frames;
    }

    std::vector<LinkId> waitForDown(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, seconds(20), [&] { return m_down.size() >= count; });
        return m_down;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::pair<LinkId, std::string>> m_frames;
    std::vector<LinkId> m_down;
};

/// A peer network with its event loop on its own thread.
struct Node
{
    explicit Node(const PeerLimits &limits = {})
    {
        runner.run([&] {
            network = makePeerNetwork(runner.loop());
            network->setHandler(&handler);
            endpoint = network->listen(ANY_PORT, limits).value();
        });
    }
    ~Node() { destroy(); }

    void destroy()
    {
        runner.run([&] { network.reset(); });
    }

    RetVal<LinkId> connectTo(const Endpoint &target)
    {
        RetVal<LinkId> link = LinkId();
        runner.run([&] { link = network->connect(target); });
        return link;
    }

    /// The null id if connecting fails.
    LinkId linkTo(const Endpoint &target) { return connectTo(target).value_or(LinkId()); }

    Ret send(LinkId link, const std::string &frame)
    {
        Ret result;
        runner.run([&] { result = network->send(link, frame); });
        return result;
    }

    std::size_t linkCount()
    {
        std::size_t count = 0;
        runner.run([&] { count = network->linkCount(); });
        return count;
    }

    RecordingHandler handler;
    LoopRunner runner;
    std::unique_ptr<IPeerNetwork> network;
    Endpoint endpoint;
};

/// Opens a client link on a raw socket, so that the test controls every byte.
RawSocket openRawLink(const Endpoint &endpoint)
{
    RawSocket socket = RawSocket::connectTo(endpoint);
    socket.send("GET /peer/3 HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
    socket.readUntil("\r\n\r\n");
    return socket;
}

/// First byte of an uncompressed message.
const std::string PLAIN(1, '\0');

/// A masked frame with an all-zero mask.
std::string makeRawFrame(char opcode, const std::string &payload)
{
    std::string frame;
    frame += static_cast<char>(0x80 | opcode);
    frame += static_cast<char>(0x80 | payload.size());
    return frame + std::string(4, '\0') + payload;
}

} // namespace

TEST_GROUP(PeerNetwork){};

TEST(PeerNetwork, CarriesFramesBothWaysInOrder)
{
    constexpr int COUNT = 500;
    Node a;
    Node b;
    const LinkId link = a.linkTo(b.endpoint);
    a.runner.run([&] {
        for (int i = 0; i < COUNT; ++i) {
            a.network->send(link, std::to_string(i) + std::string(i * 7, '\0'));
        }
    });
    const auto received = b.handler.waitForFrames(COUNT);
    CHECK_EQUAL(COUNT, received.size());
    for (int i = 0; i < COUNT; ++i) {
        CHECK(received[i].second == std::to_string(i) + std::string(i * 7, '\0'));
    }
    CHECK(b.send(received.front().first, "answer").has_value());
    const auto answers = a.handler.waitForFrames(1);
    CHECK(answers.front().first == link);
    STRCMP_EQUAL("answer", answers.front().second.c_str());
}

// Compression is enabled on an open link, on one side only. The other side reads the plain frames
// before it and the compressed ones after it.
TEST(PeerNetwork, CarriesPlainAndCompressedFramesInOrder)
{
    constexpr int COUNT = 200;
    Node a;
    Node b;
    const LinkId link = a.linkTo(b.endpoint);
    const auto makeFrame = [](int i) { return std::to_string(i) + std::string(i * 7, 'x'); };
    a.runner.run([&] {
        for (int i = 0; i < COUNT; ++i) {
            if (i == COUNT / 2) {
                a.network->enableCompression(link);
            }
            a.network->send(link, makeFrame(i));
        }
    });
    const auto received = b.handler.waitForFrames(COUNT);
    CHECK_EQUAL(COUNT, received.size());
    for (int i = 0; i < COUNT; ++i) {
        CHECK(received[i].second == makeFrame(i));
    }
    CHECK(b.send(received.front().first, "answer").has_value());
    STRCMP_EQUAL("answer", a.handler.waitForFrames(1).front().second.c_str());
}

TEST(PeerNetwork, ConcurrentConnectsShareOneLink)
{
    Node a;
    Node b;
    std::vector<LinkId> links;
    std::vector<std::future<void>> done;
    done.reserve(5);
    for (int i = 0; i < 5; ++i) {
        done.push_back(a.runner.start(
            [&] { links.push_back(a.network->connect(b.endpoint).value_or(LinkId())); }));
    }
    for (auto &one : done) {
        one.wait();
    }
    const LinkId again = a.linkTo(b.endpoint);
    CHECK_EQUAL(5, links.size());
    for (const LinkId link : links) {
        CHECK(link == again);
        CHECK(link != LinkId());
    }
    CHECK_EQUAL(1, a.linkCount());
}

TEST(PeerNetwork, ConnectFailuresReachAllWaiters)
{
    Node a;
    Endpoint closed;
    {
        RawSocket listener = RawSocket::listenOn(ANY_PORT);
        closed = listener.localEndpoint();
    }
    int failures = 0;
    std::vector<std::future<void>> done;
    done.reserve(5);
    for (int i = 0; i < 3; ++i) {
        done.push_back(a.runner.start([&] {
            const auto link = a.network->connect(closed);
            failures += !link && link.error().code == ErrorCode::Unavailable ? 1 : 0;
        }));
    }
    for (auto &one : done) {
        one.wait();
    }
    CHECK_EQUAL(3, failures);
}

/// The peer accepts the connection and never answers the handshake. The attempt fails at the
/// timeout, without a link and without a call to the handler.
TEST(PeerNetwork, ConnectTimesOutOnUnansweredHandshake)
{
    RawSocket listener = RawSocket::listenOn(ANY_PORT);
    PeerLimits limits;
    limits.connectTimeout = milliseconds(20);
    Node a(limits);
    const auto link = a.connectTo(listener.localEndpoint());
    CHECK_FALSE(link.has_value());
    CHECK(link.error().code == ErrorCode::Unavailable);
    CHECK_EQUAL(0, a.linkCount());
    CHECK_EQUAL(0, a.handler.waitForDown(0).size());
}

/// The peer's process ends. The handler is notified once, the old id becomes invalid, and a new
/// link gets a new id.
TEST(PeerNetwork, LostLinkIsReportedOnceAndItsIdIsNotReused)
{
    Node a;
    auto b = std::make_unique<Node>();
    Node c;
    const LinkId link = a.linkTo(b->endpoint);
    b.reset();
    const auto down = a.handler.waitForDown(1);
    CHECK_EQUAL(1, down.size());
    CHECK(down.front() == link);
    const Ret sent = a.send(link, "late");
    CHECK_FALSE(sent.has_value());
    CHECK(sent.error().code == ErrorCode::Unavailable);
    const LinkId next = a.linkTo(c.endpoint);
    CHECK(next != link);
    CHECK_EQUAL(1, a.handler.waitForDown(1).size());
}

/// This side closes a link. The frames queued before arrive, both sides are notified once, and
/// frames that arrive later are not delivered.
TEST(PeerNetwork, CloseSendsQueuedFrames)
{
    constexpr int COUNT = 100;
    Node a;
    Node b;
    const LinkId link = a.linkTo(b.endpoint);
    a.runner.run([&] {
        for (int i = 0; i < COUNT; ++i) {
            a.network->send(link, std::string(1000, 'x'));
        }
        a.network->close(link);
        a.network->close(link);
    });
    CHECK_EQUAL(COUNT, b.handler.waitForFrames(COUNT).size());
    CHECK_EQUAL(1, a.handler.waitForDown(1).size());
    CHECK_EQUAL(1, b.handler.waitForDown(1).size());
    CHECK_EQUAL(0, a.linkCount());
    CHECK_EQUAL(0, b.linkCount());
    CHECK(a.linkTo(b.endpoint) != link);
}

TEST(PeerNetwork, ShutdownSendsQueuedFrames)
{
    constexpr int COUNT = 2000;
    Node a;
    Node b;
    a.connectTo(b.endpoint);
    a.runner.run([&] {
        const LinkId link = a.network->connect(b.endpoint).value_or(LinkId());
        for (int i = 0; i < COUNT; ++i) {
            a.network->send(link, std::string(1000, 'x'));
        }
        a.network->shutdown(seconds(20));
    });
    CHECK_EQUAL(COUNT, b.handler.waitForFrames(COUNT).size());
    CHECK_FALSE(a.connectTo(b.endpoint).has_value());
    CHECK_FALSE(b.connectTo(a.endpoint).has_value());
}

TEST(PeerNetwork, SendRejectsOversizedFrame)
{
    PeerLimits limits;
    limits.frameBytes = 1000;
    Node a(limits);
    Node b(limits);
    const LinkId link = a.linkTo(b.endpoint);
    CHECK(a.send(link, std::string(1001, 'x')).error().code == ErrorCode::InvalidArgument);
    CHECK(a.send(link, std::string(1000, 'x')).has_value());
    CHECK_EQUAL(1000, b.handler.waitForFrames(1).front().second.size());
}

/// A peer with a larger limit sends a frame over the limit of this side. Its link is closed without
/// delivering the frame; another link is unaffected.
TEST(PeerNetwork, OversizedFrameClosesOnlyItsLink)
{
    PeerLimits small;
    small.frameBytes = 1000;
    Node a;
    Node b(small);
    Node c(small);
    const LinkId bad = a.linkTo(b.endpoint);
    const LinkId good = c.linkTo(b.endpoint);
    CHECK(a.send(bad, std::string(1001, 'x')).has_value());
    CHECK(a.handler.waitForDown(1).front() == bad);
    CHECK_EQUAL(1, b.handler.waitForDown(1).size());
    CHECK(c.send(good, "still here").has_value());
    const auto frames = b.handler.waitForFrames(1);
    CHECK_EQUAL(1, frames.size());
    STRCMP_EQUAL("still here", frames.front().second.c_str());
}

/// The peer does not read. The send buffer grows up to its limit; then `send` fails with
/// `Throttled`, which proves that the frame was not sent.
TEST(PeerNetwork, BoundsSendBufferOfLink)
{
    PeerLimits limits;
    limits.sendBufferBytes = 1024 * 1024;
    Node b(limits);
    RawSocket peer = openRawLink(b.endpoint);
    peer.send(makeRawFrame(2, PLAIN + "hello"));
    const LinkId link = b.handler.waitForFrames(1).front().first;
    bool isThrottled = false;
    b.runner.run([&] {
        for (int i = 0; i < 100000 && !isThrottled; ++i) {
            const Ret sent = b.network->send(link, std::string(64 * 1024, 'x'));
            isThrottled = !sent && sent.error().code == ErrorCode::Throttled;
        }
    });
    CHECK(isThrottled);
    CHECK_EQUAL(1, b.linkCount());
}

/// The peer stops responding without closing its connection. It is probed with a ping, and the link
/// is closed when no pong arrives.
TEST(PeerNetwork, UnresponsivePeerIsPingedAndDisconnected)
{
    PeerLimits limits;
    limits.heartbeatInterval = milliseconds(20);
    Node b(limits);
    RawSocket peer = openRawLink(b.endpoint);
    const std::string ping("\x89\x00", 2);
    CHECK(peer.readUntil(ping) == ping);
    CHECK_EQUAL(1, b.handler.waitForDown(1).size());
    peer.readToEnd();
}

/// A link without frames stays open as long as the peer answers each ping.
TEST(PeerNetwork, PongsKeepIdleLinkOpen)
{
    PeerLimits limits;
    limits.heartbeatInterval = milliseconds(300);
    Node b(limits);
    RawSocket peer = openRawLink(b.endpoint);
    const std::string ping("\x89\x00", 2);
    for (int i = 0; i < 3; ++i) {
        CHECK(peer.readUntil(ping) == ping);
        peer.send(makeRawFrame(10, ""));
    }
    peer.send(makeRawFrame(2, PLAIN + "alive"));
    STRCMP_EQUAL("alive", b.handler.waitForFrames(1).front().second.c_str());
}

TEST(PeerNetwork, IdleLinksAreClosedByTheSideThatOpenedThem)
{
    PeerLimits limits;
    limits.heartbeatInterval = milliseconds(10);
    limits.idleTimeout = milliseconds(20);
    Node a(limits);
    Node b;
    const LinkId link = a.linkTo(b.endpoint);
    CHECK(a.handler.waitForDown(1).front() == link);
    CHECK_EQUAL(1, b.handler.waitForDown(1).size());
}

TEST(PeerNetwork, LinksOverLimitAreRejected)
{
    PeerLimits limits;
    limits.links = 1;
    Node a;
    Node b(limits);
    Node c;
    CHECK(a.connectTo(b.endpoint).has_value());
    CHECK_FALSE(c.connectTo(b.endpoint).has_value());
    CHECK_FALSE(b.connectTo(c.endpoint).has_value());
}

/// Bytes that are not a handshake, plain HTTP, a text message, and random bytes after a handshake:
/// each closes only its own connection, while another link delivers every frame.
TEST(PeerNetwork, MalformedInputClosesOnlyItsLink)
{
    Node a;
    Node b;
    const LinkId link = a.linkTo(b.endpoint);
    std::uint32_t state = 4711;
    for (int round = 0; round < 100; ++round) {
        std::string bytes;
        for (int i = 0; i < 300; ++i) {
            state = state * 1664525U + 1013904223U;
            bytes += static_cast<char>(state >> 24);
        }
        RawSocket raw = RawSocket::connectTo(b.endpoint);
        raw.send(bytes);
        RawSocket handshaken = openRawLink(b.endpoint);
        handshaken.send(bytes);
        const std::string text = std::to_string(round);
        CHECK(a.send(link, text).has_value());
        const auto frames = b.handler.waitForFrames(round + 1);
        STRCMP_EQUAL(text.c_str(), frames.back().second.c_str());
    }
    RawSocket plain = RawSocket::connectTo(b.endpoint);
    plain.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(plain.readToEnd().find("HTTP/1.1 4") == 0);
    RawSocket wrongPath = RawSocket::connectTo(b.endpoint);
    wrongPath.send("GET /x HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                   "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                   "Sec-WebSocket-Version: 13\r\n\r\n");
    CHECK(wrongPath.readToEnd().find("HTTP/1.1 4") == 0);
    RawSocket text = openRawLink(b.endpoint);
    text.send(makeRawFrame(1, "text"));
    text.readToEnd();
    CHECK(a.send(link, "last").has_value());
    STRCMP_EQUAL("last", b.handler.waitForFrames(101).back().second.c_str());
}

/// The network is destroyed with open links and frames in flight; its handler is destroyed right
/// after it and must not be called again.
TEST(PeerNetwork, NoCallbackAfterDestruction)
{
    struct CountingHandler : IPeerHandler
    {
        explicit CountingHandler(int &count)
            : m_count(count)
        {
        }
        void onFrame(LinkId /*link*/, std::string /*frame*/) override { ++m_count; }
        void onLinkDown(LinkId /*link*/) override { ++m_count; }
        int &m_count;
    };
    Node b;
    LoopRunner runner;
    int calls = 0;
    int callsAtEnd = 0;
    runner.run([&] {
        auto handler = std::make_unique<CountingHandler>(calls);
        auto network = makePeerNetwork(runner.loop());
        network->setHandler(handler.get());
        const LinkId link = network->connect(b.endpoint).value_or(LinkId());
        network->send(link, "x");
        network->close(link);
        network->connect(b.endpoint);
        callsAtEnd = calls;
        network.reset();
        handler.reset();
        runner.loop().sleepFor(milliseconds(5));
    });
    CHECK_EQUAL(callsAtEnd, calls);
    b.handler.waitForDown(2);
}

TEST(PeerNetwork, DestructionFailsPendingConnect)
{
    RawSocket listener = RawSocket::listenOn(ANY_PORT);
    PeerLimits limits;
    limits.connectTimeout = hours(1);
    Node a(limits);
    bool hasFailed = false;
    std::promise<void> isConnecting;
    auto done = a.runner.start([&] {
        isConnecting.set_value();
        hasFailed = !a.network->connect(listener.localEndpoint()).has_value();
    });
    isConnecting.get_future().wait();
    RawSocket accepted = listener.accept();
    accepted.readUntil("\r\n\r\n");
    a.destroy();
    done.wait();
    CHECK(hasFailed);
}
