#include <string>

#include "transport/tests/mocks/mockhttpclient.h"
#include "transport/tests/mocks/mocklogservice.h"
#include "transport/tests/mocks/mockpeernetwork.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

TEST_GROUP(TransportMocks){};

TEST(TransportMocks, LogKeepsOrderAndTrims)
{
    const StreamName stream("s");
    MockLogService log;
    CHECK(log.append(stream, "a").value() == LogOffset(0));
    log.appendFault = MockLogService::Fault::ResponseLost;
    CHECK(log.append(stream, "b").error().code == ErrorCode::Unknown);
    log.appendFault = MockLogService::Fault::RecordLost;
    CHECK(log.append(stream, "c").error().code == ErrorCode::Unknown);
    CHECK_EQUAL(2, log.payloads(stream).size());

    log.staleRecords = 1;
    CHECK_EQUAL(1, log.read(stream, LogOffset(0), 10, Duration(0))->records.size());
    log.staleRecords = 0;
    log.trim(stream, LogOffset(1));
    const LogPage page = log.read(stream, LogOffset(0), 10, Duration(0)).value();
    CHECK(page.first == LogOffset(1));
    CHECK(page.end == LogOffset(2));
    STRCMP_EQUAL("b", page.records.front().payload.c_str());
}

TEST(TransportMocks, NetworkReportsLostLinkOnce)
{
    struct Handler : IPeerHandler
    {
        void onFrame(LinkId /*link*/, std::string frame) override { frames += frame; }
        void onLinkDown(LinkId /*link*/) override { ++downs; }
        std::string frames;
        int downs = 0;
    } handler;
    MockPeerNetwork network;
    network.setHandler(&handler);
    const LinkId link = network.connect(Endpoint{ "127.0.0.1", 1 }).value();
    network.receive(link, "x");
    network.lose(link);
    network.lose(link);
    network.receive(link, "y");
    STRCMP_EQUAL("x", handler.frames.c_str());
    CHECK_EQUAL(1, handler.downs);
    CHECK_FALSE(network.send(link, "z").has_value());
}

TEST(TransportMocks, HttpClientReturnsResultsInOrder)
{
    MockHttpClient client;
    client.failNext(HttpFailureStage::NotSent, HttpFailureCause::Connect);
    const Endpoint endpoint{ "127.0.0.1", 1 };
    CHECK_FALSE(client.exchange(endpoint, {}, Duration(1), {}).has_value());
    CHECK(client.exchange(endpoint, {}, Duration(1), {}).has_value());
    CHECK_EQUAL(2, client.calls.size());
}
