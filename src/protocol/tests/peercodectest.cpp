#include "protocol/internal/peercodec.h"

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

AnswerMessage makeAnswer()
{
    AnswerMessage answer;
    answer.stream = StreamId(7);
    answer.verdict = Verdict{ Outcome::NotRun, Reason::QueueFull, std::chrono::milliseconds(30) };
    answer.response = HttpResponse{ 503, { { "A", "b" } }, "body" };
    answer.unspent = AttemptCount(11);
    answer.serviceTime = std::chrono::microseconds(1234);
    answer.load = LoadReport{ 5, 6, 7, Rank(99), DemandLoad(1300), true };
    answer.usage = { { ServiceName("cassa"), std::chrono::microseconds(1234), DemandLoad(1300),
                       LossShare(450), 4 },
                     { ServiceName("scheda"), std::chrono::microseconds(9), DemandLoad(7),
                       LossShare(0), 1 } };
    answer.holder = DaemonId("d-3");
    return answer;
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

TEST(PeerCodec, AnswerKeepsEveryField)
{
    const auto decoded = codec.decode(codec.encode(makeAnswer()));
    CHECK(decoded.has_value());
    const auto &answer = std::get<AnswerMessage>(*decoded);
    CHECK(answer.stream == StreamId(7));
    CHECK(answer.verdict.outcome == Outcome::NotRun);
    CHECK(answer.verdict.reason == Reason::QueueFull);
    CHECK(answer.verdict.retryAfter == std::chrono::milliseconds(30));
    CHECK(answer.response.status == 503);
    CHECK(answer.response.headers.at(0).name == "A");
    CHECK(answer.response.body == "body");
    CHECK(answer.unspent == AttemptCount(11));
    CHECK(answer.serviceTime == std::chrono::microseconds(1234));
    CHECK(answer.load.inFlight == 5 && answer.load.queued == 6 && answer.load.limit == 7);
    CHECK(answer.load.floor == Rank(99));
    CHECK(answer.load.draining);
    CHECK(answer.load.demand == DemandLoad(1300));
    CHECK_EQUAL(2, answer.usage.size());
    CHECK(answer.usage.at(1).service == ServiceName("scheda"));
    CHECK(answer.usage.at(1).busy == std::chrono::microseconds(9));
    CHECK(answer.usage.at(1).load == DemandLoad(7));
    CHECK(answer.usage.at(0).loss == LossShare(450));
    CHECK_EQUAL(4, answer.usage.at(0).calls);
    CHECK(answer.holder == DaemonId("d-3"));
}

TEST(PeerCodec, EveryPrefixIsRefused)
{
    const std::string frame = codec.encode(makeCall());
    for (std::size_t size = 0; size < frame.size(); ++size) {
        CHECK_FALSE(codec.decode(frame.substr(0, size)).has_value());
    }
}

// A peer sends frames with flipped bytes. Each is refused or decodes to some message; none stops
// the process. The sanitizer build makes this strict.
TEST(PeerCodec, ChangedBytesNeverStopTheProcess)
{
    std::mt19937 random(1);
    const std::string frames[] = { codec.encode(makeCall()), codec.encode(makeAnswer()) };
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

// A peer sends an array nested two million times. The recursive parser of the library would run
// out of stack; the bounded walk before it refuses the frame.
TEST(PeerCodec, DeepNestingIsRefused)
{
    CHECK_FALSE(codec.decode(std::string(2000000, '\x81')).has_value());
}

TEST(PeerCodec, HugeLengthIsRefused)
{
    CHECK_FALSE(codec.decode(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
    CHECK_FALSE(codec.decode(std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)).has_value());
}
