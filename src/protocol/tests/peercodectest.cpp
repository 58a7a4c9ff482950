#include "protocol/internal/peercodec.h"
#include "protocol/internal/fieldcodec.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

CallMessage makeCall()
{
    CallMessage call;
    call.stream = StreamId(7);
    call.root = RootId(~0ULL);
    call.service = ServiceName("cassa");
    call.rule = RuleName("payment");
    call.rank = Rank(0x5A010203);
    call.depth = Depth(3);
    call.remaining = std::chrono::milliseconds(250);
    call.admittedShare = DemandShare(250);
    call.isRepeat = true;
    call.granted = AttemptCount(12);
    call.once = OnceTerms{ IdempotencyKey("k-1"), std::chrono::hours(1), "ticket" };
    call.request = HttpRequest{
        "POST", "/payments?x=1", { { "X-Bytes", "\xff\xfe" } }, std::string("\0\x80z", 3)
    };
    return call;
}

ResponseMessage makeResponse()
{
    ResponseMessage response;
    response.stream = StreamId(7);
    response.verdict = Verdict{ Outcome::NotRun, Reason::QueueFull, std::chrono::milliseconds(30) };
    response.response = HttpResponse{ 503, { { "A", "b" } }, "body" };
    response.unspent = AttemptCount(11);
    response.serviceTime = std::chrono::microseconds(1234);
    response.load = LoadReport{ 5, 6, 7, Rank(99), DemandLoad(1300), true };
    response.usage = { { ServiceName("cassa"), std::chrono::microseconds(1234), DemandLoad(1300),
                         LossShare(450), 4 },
                       { ServiceName("scheda"), std::chrono::microseconds(9), DemandLoad(7),
                         LossShare(0), 1 } };
    response.holder = DaemonId("d-3");
    return response;
}

} // namespace

TEST_GROUP(PeerCodec)
{
    PeerCodec codec;
};

TEST(PeerCodec, CallKeepsEveryField)
{
    const auto decoded = codec.decode(codec.encode(makeCall()));
    CHECK(decoded.has_value());
    const auto &call = std::get<CallMessage>(*decoded);
    CHECK(call.stream == StreamId(7));
    CHECK(call.root == RootId(~0ULL));
    CHECK(call.service == ServiceName("cassa"));
    CHECK(call.rule == RuleName("payment"));
    CHECK(call.rank == Rank(0x5A010203));
    CHECK(call.depth == Depth(3));
    CHECK(call.remaining == std::chrono::milliseconds(250));
    CHECK(call.admittedShare == DemandShare(250));
    CHECK(call.isRepeat);
    CHECK(call.granted == AttemptCount(12));
    CHECK(call.once.has_value());
    CHECK(call.once->key == IdempotencyKey("k-1"));
    CHECK(call.once->keyLifetime == std::chrono::hours(1));
    CHECK(call.once->ticket == "ticket");
    CHECK(call.request.method == "POST");
    CHECK(call.request.target == "/payments?x=1");
    CHECK(call.request.headers.at(0).value == "\xff\xfe");
    CHECK(call.request.body == std::string("\0\x80z", 3));
}

TEST(PeerCodec, ResponseKeepsEveryField)
{
    const auto decoded = codec.decode(codec.encode(makeResponse()));
    CHECK(decoded.has_value());
    const auto &response = std::get<ResponseMessage>(*decoded);
    CHECK(response.stream == StreamId(7));
    CHECK(response.verdict.outcome == Outcome::NotRun);
    CHECK(response.verdict.reason == Reason::QueueFull);
    CHECK(response.verdict.retryAfter == std::chrono::milliseconds(30));
    CHECK(response.response.status == 503);
    CHECK(response.response.headers.at(0).name == "A");
    CHECK(response.response.body == "body");
    CHECK(response.unspent == AttemptCount(11));
    CHECK(response.serviceTime == std::chrono::microseconds(1234));
    CHECK(response.load.inFlight == 5 && response.load.queued == 6 && response.load.limit == 7);
    CHECK(response.load.floor == Rank(99));
    CHECK(response.load.draining);
    CHECK(response.load.demand == DemandLoad(1300));
    CHECK_EQUAL(2, response.usage.size());
    CHECK(response.usage.at(1).service == ServiceName("scheda"));
    CHECK(response.usage.at(1).busy == std::chrono::microseconds(9));
    CHECK(response.usage.at(1).load == DemandLoad(7));
    CHECK(response.usage.at(0).loss == LossShare(450));
    CHECK_EQUAL(4, response.usage.at(0).calls);
    CHECK(response.holder == DaemonId("d-3"));
}

TEST(PeerCodec, TruncatedFramesAreRejected)
{
    const std::string frame = codec.encode(makeCall());
    for (std::size_t size = 0; size < frame.size(); ++size) {
        CHECK_FALSE(codec.decode(frame.substr(0, size)).has_value());
    }
}

// Frames with changed bytes must be rejected or decode to some message. The sanitizer build also
// detects invalid memory accesses.
TEST(PeerCodec, CorruptedFramesDoNotCrash)
{
    std::mt19937 random(1);
    const std::string frames[] = { codec.encode(makeCall()), codec.encode(makeResponse()) };
    for (int round = 0; round < 20000; ++round) {
        std::string frame = frames[random() % 2];
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i) {
            frame[random() % frame.size()] = static_cast<char>(random());
        }
        const auto decoded = codec.decode(frame);
        if (decoded) {
            CHECK(!codec.encode(*decoded).empty());
        }
    }
}

// An array that is nested two million times would exhaust the stack of a recursive parser.
TEST(PeerCodec, DeepNestingIsRejected)
{
    CHECK_FALSE(codec.decode(std::string(2000000, '\x81')).has_value());
}

TEST(PeerCodec, HugeLengthIsRejected)
{
    CHECK_FALSE(codec.decode(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
    CHECK_FALSE(codec.decode(std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
}

TEST(PeerCodec, NoticesAndTheRateLimitedReasonAreKept)
{
    const UpstreamNotice notice{ UpstreamRunName("i-7"), RequestRate(44900), true };
    CallMessage call = makeCall();
    call.notice = notice;
    const auto decodedCall = codec.decode(codec.encode(call));
    CHECK(*std::get<CallMessage>(*decodedCall).notice == notice);
    ResponseMessage response = makeResponse();
    response.verdict.reason = Reason::RateLimited;
    response.notice = UpstreamNotice();
    const auto decoded = codec.decode(codec.encode(response));
    const auto &kept = std::get<ResponseMessage>(*decoded);
    CHECK(kept.verdict.reason == Reason::RateLimited);
    CHECK(*kept.notice == UpstreamNotice());
}

TEST(PeerCodec, ObjectiveAndSpeedAreKept)
{
    CallMessage call = makeCall();
    call.objectiveLeft = std::chrono::milliseconds(120);
    const auto decodedCall = codec.decode(codec.encode(call));
    CHECK(std::get<CallMessage>(*decodedCall).objectiveLeft == std::chrono::milliseconds(120));
    const auto without = codec.decode(codec.encode(makeCall()));
    CHECK_FALSE(std::get<CallMessage>(*without).objectiveLeft.has_value());
    CHECK_FALSE(std::get<CallMessage>(*without).mayGoElsewhere);
    call.mayGoElsewhere = true;
    const auto passedOn = codec.decode(codec.encode(call));
    CHECK(std::get<CallMessage>(*passedOn).mayGoElsewhere);
    ResponseMessage response = makeResponse();
    response.load.speed = SpeedShare(400);
    const auto decoded = codec.decode(codec.encode(response));
    CHECK(std::get<ResponseMessage>(*decoded).load.speed == SpeedShare(400));
    LoadMessage load{ StreamId(3), ServiceName("cassa"), response.load };
    const auto decodedLoad = codec.decode(codec.encode(load));
    CHECK(std::get<LoadMessage>(*decodedLoad).load.speed == SpeedShare(400));
}

// Guards against links that daemons of an older version close because a frame has an unknown
// reason.
TEST(PeerCodec, RateLimitedReasonIsReadableForOlderDaemons)
{
    ResponseMessage response = makeResponse();
    response.verdict.reason = Reason::RateLimited;
    const std::string frame = codec.encode(response);
    auto fields = FieldReader::open(frame);
    std::uint8_t kind = 0;
    fields->read(kind);
    StreamId stream;
    fields->read(stream);
    Outcome outcome = Outcome::Answered;
    fields->read(outcome, Outcome::Unknown);
    Reason reason = Reason::None;
    fields->read(reason, Reason::OverLimit);
    CHECK(fields->isGood());
    CHECK(reason == Reason::QueueFull);
}
