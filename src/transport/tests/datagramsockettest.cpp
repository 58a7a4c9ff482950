#include <vector>

#include "transport/tests/loopback.h"
#include "transport/tests/looprunner.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

class Collector : public IDatagramHandler
{
public:
    void onDatagram(std::string payload) override { payloads.push_back(std::move(payload)); }

    std::vector<std::string> payloads;
};

/// An endpoint on this process' own loopback address that no TCP socket listens on.
Endpoint freeEndpoint(IEventLoop &loop)
{
    const auto network = makePeerNetwork(loop);
    return *network->listen(ownLoopback(), PeerLimits());
}

} // namespace

TEST_GROUP(DatagramSocket)
{
    LoopRunner m_runner;
    Collector m_collector;
    std::unique_ptr<IDatagramSocket> m_sender;
    std::unique_ptr<IDatagramSocket> m_receiver;
    Endpoint m_endpoint;

    void setup() override
    {
        m_runner.run([this] {
            m_endpoint = freeEndpoint(m_runner.loop());
            m_sender = makeDatagramSocket(m_runner.loop());
            m_receiver = makeDatagramSocket(m_runner.loop());
            m_receiver->setHandler(&m_collector);
            m_isListening = m_receiver->listen(m_endpoint).has_value()
                && m_sender->listen(freeEndpoint(m_runner.loop())).has_value();
        });
        CHECK(m_isListening);
    }
    void teardown() override
    {
        m_runner.run([this] {
            m_sender.reset();
            m_receiver.reset();
        });
    }
    Ret send(const std::string &payload)
    {
        Ret sent;
        m_runner.run([&] { sent = m_sender->send(m_endpoint, payload); });
        return sent;
    }

    bool m_isListening = false;
};

TEST(DatagramSocket, CarriesArbitraryBytes)
{
    const std::string bytes("\0\n\xff", 3);
    CHECK(send(bytes).has_value());
    CHECK(send(std::string(IDatagramSocket::MAX_PAYLOAD_BYTES, 'x')).has_value());
    CHECK(m_runner.reaches([this] { return m_collector.payloads.size() == 2; }));
    CHECK(m_collector.payloads[0] == bytes);
    CHECK_EQUAL(IDatagramSocket::MAX_PAYLOAD_BYTES, m_collector.payloads[1].size());
}

TEST(DatagramSocket, RejectsOversizedPayload)
{
    const Ret sent = send(std::string(IDatagramSocket::MAX_PAYLOAD_BYTES + 1, 'x'));
    CHECK(!sent);
    CHECK(sent.error().code == ErrorCode::InvalidArgument);
}

// A peer's process has ended and its port is closed. The kernel may report this to the sender as an
// error of a later call on the same socket. Guards against such an error cutting the daemon off
// from all other peers.
TEST(DatagramSocket, UnreachablePeerDoesNotAffectOthers)
{
    m_runner.run([this] {
        const Endpoint gone = freeEndpoint(m_runner.loop());
        for (int i = 0; i < 3; ++i) {
            (void)m_sender->send(gone, "anyone there");
        }
    });
    CHECK(send("still here").has_value());
    CHECK(m_runner.reaches([this] { return m_collector.payloads.size() == 1; }));
}

TEST(DatagramSocket, ListenFailsOnPortInUse)
{
    m_runner.run([this] {
        const auto second = makeDatagramSocket(m_runner.loop());
        m_isListening = second->listen(m_endpoint).has_value();
    });
    CHECK_FALSE(m_isListening);
}
