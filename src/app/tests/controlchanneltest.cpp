#include "app/internal/control/controlchannel.h"

#include <vector>

#include "app/internal/control/instrumentedlog.h"
#include "app/tests/mocks/fakekeyedlog.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/silentobservers.h"
#include "protocol/internal/peercodec.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const Endpoint PEER{ "10.0.0.2", 7000 };

class RecordingSocket : public IDatagramSocket
{
public:
    void setHandler(IDatagramHandler * /*handler*/) override { }
    Ret listen(const Endpoint & /*endpoint*/) override { return {}; }
    Ret send(const Endpoint &to, const std::string &payload) override
    {
        targets.push_back(to);
        sent.push_back(payload);
        return {};
    }

    std::vector<Endpoint> targets;
    std::vector<std::string> sent;
};

} // namespace

TEST_GROUP(ControlChannel)
{
    RecordingSocket m_socket;
    PeerCodec m_codec;
    SilentObservers m_observers;
    std::vector<std::string> m_byLink;
    std::vector<ControlMessage> m_received;
    ControlChannel m_channel{ DaemonId("a"),
                              m_socket,
                              m_codec,
                              m_observers.observers(),
                              [this](const DaemonId & /*to*/, const Endpoint & /*endpoint*/,
                                     const std::string &payload) { m_byLink.push_back(payload); },
                              [this](const ControlMessage &message) {
                                  m_received.push_back(message);
                              } };
};

TEST(ControlChannel, SendsShortMessagesAsDatagrams)
{
    m_channel.send(DaemonId("b"), PEER, "ping");
    CHECK_EQUAL(1, m_socket.sent.size());
    CHECK(m_socket.targets[0] == PEER);
    CHECK(m_byLink.empty());
    m_channel.onDatagram(m_socket.sent[0]);
    CHECK_EQUAL(1, m_received.size());
    STRCMP_EQUAL("a", m_received[0].from.value().c_str());
    STRCMP_EQUAL("ping", m_received[0].payload.c_str());
}

// For example member tables and configurations.
TEST(ControlChannel, SendsLongMessagesOverALink)
{
    m_channel.send(DaemonId("b"), PEER, std::string(IDatagramSocket::MAX_PAYLOAD_BYTES, 'x'));
    // Fits into a datagram by itself, but not together with the sender's id.
    m_channel.send(DaemonId("b"), PEER, std::string(IDatagramSocket::MAX_PAYLOAD_BYTES - 1, 'x'));
    CHECK(m_socket.sent.empty());
    CHECK_EQUAL(2, m_byLink.size());
}

TEST(ControlChannel, SendsAllMessagesOverLinksWhenDatagramsAreDisabled)
{
    m_channel.useLinksOnly();
    m_channel.send(DaemonId("b"), PEER, "ping");
    CHECK(m_socket.sent.empty());
    CHECK_EQUAL(1, m_byLink.size());
}

// Datagrams of other programs or versions, and messages that are only valid on a link.
TEST(ControlChannel, DropsMalformedDatagrams)
{
    m_channel.onDatagram("");
    m_channel.onDatagram("\1rubbish");
    m_channel.onDatagram('\1' + m_codec.encode(PeerMessage(HelloMessage())));
    m_channel.send(DaemonId("b"), PEER, "ping");
    std::string other = m_socket.sent[0];
    other[0] = '\7';
    m_channel.onDatagram(other);
    CHECK(m_received.empty());
    STRCMP_CONTAINS("ivyspar_datagrams_malformed_total 4", m_observers.metrics().text().c_str());
}

TEST_GROUP(InstrumentedLog){};

TEST(InstrumentedLog, CountsReadsAppendsAndFailures)
{
    InlineEventLoop loop;
    SilentObservers observers;
    auto fake = std::make_unique<FakeKeyedLog>(loop);
    FakeKeyedLog &inner = *fake;
    InstrumentedLog log(std::move(fake), loop, observers.metrics());
    const StreamName stream("s");
    CHECK(log.put(stream, { { "k", "v" } }).has_value());
    CHECK_EQUAL(1, log.newest(stream)->records.size());
    CHECK_EQUAL(1, log.read(stream, LogOffset(0), Duration::zero())->records.size());
    inner.isDown = true;
    CHECK(!log.newest(stream));
    const std::string text = observers.metrics().text();
    STRCMP_CONTAINS("ivyspar_log_reads_total 2", text.c_str());
    STRCMP_CONTAINS("ivyspar_log_read_failures_total 1", text.c_str());
    STRCMP_CONTAINS("ivyspar_log_appends_total 1", text.c_str());
}

TEST(InstrumentedLog, MeasuresDurationOfLongPolls)
{
    InlineEventLoop loop;
    SilentObservers observers;
    InstrumentedLog log(std::make_unique<FakeKeyedLog>(loop), loop, observers.metrics());
    CHECK(log.read(StreamName("s"), LogOffset(0), std::chrono::seconds(2)).has_value());
    const std::string text = observers.metrics().text();
    STRCMP_CONTAINS("ivyspar_log_read_duration_seconds_sum 2.0", text.c_str());
}
