#include "protocol/internal/membershipcodec.h"

#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;

namespace {

MembershipMessage makeReply()
{
    MemberUpdate update;
    update.id = DaemonId("weighbridge-1");
    update.incarnation = Incarnation(1'700'000'000'000'000);
    update.counter = 7;
    update.recordCounter = 5;
    update.record = Member{ update.id,
                            update.incarnation,
                            5,
                            DomainName("eagle-farm"),
                            { "::1", 7100 },
                            { { ServiceName("weighbridge"), 80, 600, true, Duration(1500) } },
                            true };
    MembershipMessage message;
    message.sender = { "127.0.0.1", 7100 };
    message.digest = 0xFFFFFFFFFFFFFFFFULL;
    message.updates.push_back(update);
    update.record.reset();
    update.health = MemberHealth::Suspect;
    message.body = SyncReplyMessage{ 1ULL << 63U, { update, message.updates.front() } };
    return message;
}

std::vector<MembershipMessage> oneOfEach()
{
    std::vector<MembershipMessage> messages(5, makeReply());
    messages[0].body = PingMessage{ 1, DaemonId("a"), Incarnation(2), 3, MemberHealth::Dead };
    messages[1].body = AckMessage{ 4, DaemonId("b") };
    messages[2].body = PingRequestMessage{ 5, DaemonId("c"), { "10.0.0.1", 1 } };
    messages[3].body = GossipMessage();
    messages[4].body = SyncRequestMessage{ { 1, 2, 3 } };
    messages.push_back(makeReply());
    return messages;
}

} // namespace

TEST_GROUP(MembershipCodec){};

TEST(MembershipCodec, EveryMessageRoundTrips)
{
    for (const MembershipMessage &message : oneOfEach()) {
        const std::string bytes = encodeMembership(message);
        const auto decoded = decodeMembership(bytes);
        CHECK(decoded.has_value());
        CHECK(decoded->body.index() == message.body.index());
        CHECK(encodeMembership(*decoded) == bytes);
    }
    const auto reply = decodeMembership(encodeMembership(makeReply()));
    const Member &member = *reply->updates.front().record;
    CHECK(member.upstreams.front().draining && member.leaving);
    CHECK(member.upstreams.front().coldLeft == Duration(1500));
    CHECK(member.counter == 5 && member.domain == DomainName("eagle-farm"));
}

TEST(MembershipCodec, MalformedBytesAreRejectedWithoutCrash)
{
    SeededRandom random(1);
    const std::vector<MembershipMessage> messages = oneOfEach();
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = encodeMembership(messages[random.below(messages.size())]);
        bytes.resize(random.below(bytes.size() + 1));
        for (std::uint64_t flips = random.below(4); flips > 0 && !bytes.empty(); --flips) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        const auto decoded = decodeMembership(bytes);
        CHECK(decoded.has_value() || decoded.error().code == ErrorCode::InvalidArgument);
    }
    CHECK_FALSE(decodeMembership(std::string(200000, '\x81')).has_value());
}
