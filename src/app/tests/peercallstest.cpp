#include "app/internal/entry/peercalls.h"

#include "app/tests/mocks/fakegateservice.h"
#include "app/tests/mocks/inlineeventloop.h"
#include "app/tests/mocks/silentobservers.h"
#include "protocol/internal/peercodec.h"
#include "transport/tests/mocks/mockpeernetwork.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

const DaemonId SELF("self");
const DaemonId PEER("peer");
const Endpoint PEER_ENDPOINT{ "127.0.0.1", 9 };
constexpr std::size_t BODY_BUDGET = 1024 * 1024;

} // namespace

TEST_GROUP(PeerCalls)
{
    InlineEventLoop loop;
    MockPeerNetwork network;
    PeerCodec codec;
    FakeGateService gates;
    SilentObservers silent;
    BodyBudgetPtr bodies = makeBodyBudget(BODY_BUDGET);
    std::unique_ptr<PeerCalls> calls;
    std::vector<AttemptAnswer> answers;
    std::vector<DaemonId> unreachable;

    void setup() override
    {
        calls =
            std::make_unique<PeerCalls>(loop, network, codec, gates, *bodies, silent.observers(),
                                        DaemonIdentity{ SELF, Incarnation(1), DomainName("a") });
        calls->setOnUnreachable(
            [this](DaemonId daemon) { unreachable.push_back(std::move(daemon)); });
        Member peer;
        peer.id = PEER;
        peer.peerEndpoint = PEER_ENDPOINT;
        calls->setMembers({ peer });
    }

    void teardown() override
    {
        calls.reset();
    }

    StreamId send(const DaemonId &target, const std::string &body)
    {
        CallMessage call;
        call.service = ServiceName("s");
        call.request.body = body;
        return calls->send(target, std::move(call),
                           [this](AttemptAnswer answer) { answers.push_back(std::move(answer)); });
    }

    LinkId link()
    {
        return network.links.at(PEER_ENDPOINT);
    }

    void peerAnswers(LinkId from, StreamId stream, const std::string &body)
    {
        ResponseMessage answer;
        answer.stream = stream;
        answer.verdict.outcome = Outcome::Answered;
        answer.response.body = body;
        network.receive(from, codec.encode(PeerMessage(answer)));
    }

    LinkId incomingCall(StreamId stream)
    {
        const LinkId incoming = network.addIncoming();
        CallMessage call;
        call.stream = stream;
        network.receive(incoming, codec.encode(PeerMessage(call)));
        return incoming;
    }
};

// Traffic between failure domains is costly; within one the time for compression matters more.
TEST(PeerCalls, OnlyLinksToOtherDomainsAreCompressed)
{
    const Endpoint neighbour{ "127.0.0.1", 10 };
    Member near;
    near.id = DaemonId("near");
    near.domain = DomainName("a");
    near.peerEndpoint = neighbour;
    Member far;
    far.id = PEER;
    far.domain = DomainName("b");
    far.peerEndpoint = PEER_ENDPOINT;
    calls->setMembers({ near, far });
    send(near.id, "1");
    send(PEER, "2");
    CHECK_EQUAL(0, network.compressed.count(network.links.at(neighbour)));
    CHECK_EQUAL(1, network.compressed.count(link()));
}

// A link that was opened when only the peer's endpoint was known is compressed once the peer is
// known to be in another failure domain. A link that a peer opens is compressed when its hello
// names one.
TEST(PeerCalls, LinksAreCompressedOnceTheOtherDomainIsKnown)
{
    calls->setMembers({});
    calls->sendControl(DaemonId(), PEER_ENDPOINT, "who are you");
    CHECK_EQUAL(0, network.compressed.count(link()));
    Member far;
    far.id = PEER;
    far.domain = DomainName("b");
    far.peerEndpoint = PEER_ENDPOINT;
    calls->setMembers({ far });
    CHECK_EQUAL(1, network.compressed.count(link()));

    HelloMessage hello;
    hello.daemon = PEER;
    hello.domain = DomainName("b");
    const LinkId incoming = network.addIncoming();
    network.receive(incoming, codec.encode(PeerMessage(hello)));
    CHECK_EQUAL(1, network.compressed.count(incoming));
}

// Two calls are sent on one link. Their answers arrive in reverse order, one of them twice. Each
// call gets its own answer exactly once.
TEST(PeerCalls, AnswersFindTheirCallsInAnyOrder)
{
    const StreamId first = send(PEER, "1");
    const StreamId second = send(PEER, "2");
    peerAnswers(link(), second, "for 2");
    peerAnswers(link(), first, "for 1");
    peerAnswers(link(), second, "again");
    LONGS_EQUAL(2, answers.size());
    CHECK(answers[0].message.stream == second && answers[0].message.response.body == "for 2");
    CHECK(answers[1].message.stream == first && answers[1].message.response.body == "for 1");
}

// A peer answers a call that was sent to another peer. The answer is ignored.
TEST(PeerCalls, AnswerOnAnotherLinkIsIgnored)
{
    const StreamId stream = send(PEER, "1");
    peerAnswers(network.addIncoming(), stream, "foreign");
    LONGS_EQUAL(0, answers.size());
    peerAnswers(link(), stream, "own");
    STRCMP_EQUAL("own", answers.at(0).message.response.body.c_str());
}

TEST(PeerCalls, UnreachablePeerIsNotRun)
{
    network.isUnreachable = true;
    send(PEER, "1");
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].message.verdict.outcome == Outcome::NotRun);
    CHECK_FALSE(answers[0].isFromDaemon);
    CHECK(unreachable.at(0) == PEER);
}

// The link is lost after the call was sent, so the call may have run.
TEST(PeerCalls, LostLinkIsUnknown)
{
    send(PEER, "1");
    network.lose(link());
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].message.verdict.outcome == Outcome::Unknown);
    CHECK(answers[0].message.verdict.reason == Reason::LinkLost);
    CHECK(unreachable.at(0) == PEER);
}

// A link rejects a frame, as it does when it was lost before `connect` returned. The call ends as
// not run, and the next one opens a new link instead of failing on the old one forever.
TEST(PeerCalls, LinkThatRejectsAFrameIsReplaced)
{
    send(PEER, "1");
    const LinkId before = link();
    network.isCongested = true;
    send(PEER, "2");
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].message.verdict.outcome == Outcome::NotRun);
    network.isCongested = false;
    network.links.erase(PEER_ENDPOINT);
    const StreamId third = send(PEER, "3");
    CHECK(link() != before);
    peerAnswers(link(), third, "for 3");
    STRCMP_EQUAL("for 3", answers.at(1).message.response.body.c_str());
}

// Guards against an entry that keeps a request, and its caller waiting, because the response was
// too large for the link and the failure of the send was ignored.
TEST(PeerCalls, ResponseThatTheLinkDoesNotTakeIsAnsweredAsUnknown)
{
    network.maxFrameBytes = 1000;
    const StreamId stream(7);
    const LinkId incoming = incomingCall(stream);
    ResponseMessage answer;
    answer.verdict.outcome = Outcome::Answered;
    answer.response.body = std::string(2000, 'x');
    gates.answer(CallId(1), answer);
    LONGS_EQUAL(1, network.framesOn(incoming).size());
    const auto sent = codec.decode(network.framesOn(incoming).front());
    const auto &told = std::get<ResponseMessage>(*sent);
    CHECK(told.stream == stream);
    CHECK(told.verdict.outcome == Outcome::Unknown);
    CHECK(told.verdict.reason == Reason::BrokenAnswer);
}

// Guards against the same where not even that answer can be sent.
TEST(PeerCalls, LinkThatTakesNoAnswerIsClosed)
{
    const LinkId incoming = incomingCall(StreamId(7));
    network.isCongested = true;
    gates.answer(CallId(1), {});
    CHECK_FALSE(network.isOpen(incoming));
}

// Guards against requests over links whose sum exhausts the memory.
TEST(PeerCalls, CallWithoutRoomForItsBodyIsRefused)
{
    const LinkId incoming = network.addIncoming();
    CallMessage call;
    call.stream = StreamId(1);
    call.request.body = std::string(BODY_BUDGET / 2, 'x');
    network.receive(incoming, codec.encode(PeerMessage(call)));
    LONGS_EQUAL(1, gates.calls.size());
    call.stream = StreamId(2);
    network.receive(incoming, codec.encode(PeerMessage(call)));
    LONGS_EQUAL(1, gates.calls.size());
    const auto sent = codec.decode(network.framesOn(incoming).back());
    const auto &told = std::get<ResponseMessage>(*sent);
    CHECK(told.stream == StreamId(2));
    CHECK(told.verdict.outcome == Outcome::NotRun);
    CHECK(told.verdict.retryAfter > Duration::zero());
    gates.calls.clear();
    LONGS_EQUAL(0, bodies->usage(MessageKind::Request).bytes);
}

// A peer sends a malformed frame. Its link is closed and the open attempts on it end as unknown
// instead of waiting for an answer that may have been in that frame.
TEST(PeerCalls, MalformedFrameClosesTheLink)
{
    send(PEER, "1");
    network.receive(link(), "garbage");
    CHECK(network.links.empty());
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].message.verdict.outcome == Outcome::Unknown);
}

// The link of an incoming call is lost. Its answer cannot be delivered, so the call is cancelled.
TEST(PeerCalls, CallsOfALostLinkAreCancelled)
{
    const LinkId incoming = incomingCall(StreamId(5));
    LONGS_EQUAL(1, gates.calls.size());
    network.lose(incoming);
    LONGS_EQUAL(1, gates.cancelled.size());
}

TEST(PeerCalls, IncomingCallIsAnsweredOnItsLink)
{
    const LinkId incoming = incomingCall(StreamId(5));
    ResponseMessage answer;
    answer.verdict.outcome = Outcome::Answered;
    gates.answer(gates.calls.begin()->first, answer);
    const auto sent = codec.decode(network.framesOn(incoming).back());
    CHECK(sent.has_value());
    CHECK(std::get<ResponseMessage>(*sent).stream == StreamId(5));
}

TEST(PeerCalls, CallToThisDaemonSkipsTheLink)
{
    send(SELF, "1");
    LONGS_EQUAL(0, network.links.size());
    ResponseMessage answer;
    answer.verdict.outcome = Outcome::Answered;
    gates.answer(gates.calls.begin()->first, answer);
    CHECK(answers.at(0).message.verdict.outcome == Outcome::Answered);
}
