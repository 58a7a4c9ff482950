#include "transport/internal/tcpstream.h"

#include <algorithm>
#include <string>
#include <thread>

#include "transport/internal/eventloop.h"
#include "transport/tests/loopback.h"
#include "transport/tests/looprunner.h"
#include "transport/tests/rawsocket.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(TcpStream)
{
    LoopRunner m_runner;
    RawSocket m_listener = RawSocket::listenOn(ownLoopback());

    TcpStreamPtr connect()
    {
        auto &loop = static_cast<EventLoop &>(m_runner.loop());
        TcpStreamPtr stream(new TcpStream(boost::asio::ip::tcp::socket(loop.ioContext())));
        stream->connect(toTcpEndpoint(m_listener.localEndpoint()).value());
        return stream;
    }
};

// Guards against a buffer that keeps all bytes of a message without end, as a part of it is always
// left to be parsed.
TEST(TcpStream, ConsumedBytesAreNotKept)
{
    constexpr std::size_t SENT_BYTES = 4 * 1024 * 1024;
    constexpr std::size_t MAX_HELD_BYTES = 64 * 1024;
    std::thread sender([&] { m_listener.accept().send(std::string(SENT_BYTES, 'x')); });
    std::size_t received = 0;
    std::size_t held = 0;
    m_runner.run([&] {
        const TcpStreamPtr stream = connect();
        while (!stream->read()) {
            const std::size_t complete = stream->input().size() - 1;
            stream->consume(complete);
            received += complete;
            held = std::max(held, stream->heldBytes());
        }
    });
    sender.join();
    CHECK_EQUAL(SENT_BYTES - 1, received);
    CHECK(held <= MAX_HELD_BYTES);
}
