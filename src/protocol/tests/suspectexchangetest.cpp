#include "protocol/suspectexchange.h"

#include "protocol/documentexchange.h"
#include "state/internal/seededrandom.h"

#include <CppUTest/TestHarness.h>

using namespace ivyspar;
using namespace std::chrono_literals;

namespace {

const TimePoint SENDER_NOW{ 500s };
/// The clocks of sender and receiver differ.
const TimePoint RECEIVER_NOW{ 9000s };
const ServerKind KIND{ ServiceName("catalogo"), UpstreamVersion("v1") };

SuspectRecord makeRecord()
{
    SuspectRecord record;
    record.fingerprint = Fingerprint("4f00");
    record.epoch = 2;
    record.crashes = { Crash{ UpstreamRunName("i-1"), KIND, SENDER_NOW - 7s, false, false },
                       Crash{ UpstreamRunName("i-2"), KIND, SENDER_NOW - 1s, true, true } };
    record.completed = { KIND };
    record.untried = { { ServiceName("catalogo"), UpstreamVersion("v2") } };
    record.changedAt = SENDER_NOW - 1s;
    return record;
}

} // namespace

TEST_GROUP(SuspectExchange){};

TEST(SuspectExchange, UpdateKeepsRecordsAndAges)
{
    const std::string payload = encodeSuspectMessage(SuspectUpdate{ { makeRecord() } }, SENDER_NOW);
    CHECK(isSuspectMessage(payload));
    const auto read = decodeSuspectMessage(payload, RECEIVER_NOW);
    CHECK(read.has_value());
    const SuspectRecord &record = std::get<SuspectUpdate>(*read).records.at(0);
    CHECK(record.fingerprint == Fingerprint("4f00"));
    LONGS_EQUAL(2, record.epoch);
    CHECK(record.crashes.at(0).at == RECEIVER_NOW - 7s);
    CHECK_FALSE(record.crashes.at(0).wasIsolated);
    CHECK(record.crashes.at(1).wasIsolated);
    CHECK(record.crashes.at(1).isTrial);
    CHECK(record.crashes.at(1).run == UpstreamRunName("i-2"));
    CHECK(record.completed.at(0) == KIND);
    CHECK(record.untried.at(0).version == UpstreamVersion("v2"));
    CHECK(record.changedAt == RECEIVER_NOW - 1s);
}

// Guards against a process that reads its predecessor's times by its own steady clock.
TEST(SuspectExchange, StoredRecordKeepsItsAges)
{
    constexpr std::uint64_t WRITTEN_AT = 1'700'000'000'000;
    const std::string value = encodeStoredSuspect(makeRecord(), SENDER_NOW, WRITTEN_AT);
    const auto read = decodeStoredSuspect(value, RECEIVER_NOW, WRITTEN_AT + 2000);
    CHECK(read.has_value());
    CHECK(read->fingerprint == Fingerprint("4f00"));
    CHECK(digestOf(*read) == digestOf(makeRecord()));
    CHECK(read->changedAt == RECEIVER_NOW - 3s);
    CHECK(decodeStoredSuspect(value, RECEIVER_NOW, WRITTEN_AT - 5000)->changedAt
          == RECEIVER_NOW - 1s);
}

TEST(SuspectExchange, MalformedStoredRecordsAreErrors)
{
    const std::string value = encodeStoredSuspect(makeRecord(), SENDER_NOW, 1);
    for (std::size_t size = 0; size < value.size(); ++size) {
        CHECK_FALSE(decodeStoredSuspect(value.substr(0, size), RECEIVER_NOW, 1).has_value());
    }
    const std::string message = encodeSuspectMessage(SuspectUpdate{ { makeRecord() } }, SENDER_NOW);
    CHECK_FALSE(decodeStoredSuspect(message, RECEIVER_NOW, 1).has_value());
}

TEST(SuspectExchange, SnapshotsAndDigestsKeepTheirFields)
{
    const SuspectSnapshot snapshot{ 77, true, { makeRecord(), makeRecord() } };
    const auto read =
        decodeSuspectMessage(encodeSuspectMessage(snapshot, SENDER_NOW), RECEIVER_NOW);
    CHECK(std::get<SuspectSnapshot>(*read).isReplyRequested);
    LONGS_EQUAL(2, std::get<SuspectSnapshot>(*read).records.size());
    const auto digest =
        decodeSuspectMessage(encodeSuspectMessage(SuspectDigest{ 9 }, SENDER_NOW), RECEIVER_NOW);
    LONGS_EQUAL(9, std::get<SuspectDigest>(*digest).digest);
}

TEST(SuspectExchange, OtherExchangesAreDistinguished)
{
    const std::string other = encodeDocumentMessage(DocumentRequest{ ConfigurationVersion(3) });
    CHECK_FALSE(isSuspectMessage(other));
    CHECK(decodeSuspectMessage(other, RECEIVER_NOW).error().code == ErrorCode::NotFound);
    const std::string own = encodeSuspectMessage(SuspectDigest{ 1 }, SENDER_NOW);
    CHECK(decodeDocumentMessage(own).error().code == ErrorCode::NotFound);
}

// Guards against malformed messages that crash the daemon or exhaust its memory.
TEST(SuspectExchange, DamagedMessagesAreRejectedOrHarmless)
{
    const std::string whole =
        encodeSuspectMessage(SuspectSnapshot{ 7, false, { makeRecord() } }, SENDER_NOW);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(decodeSuspectMessage(whole.substr(0, length), RECEIVER_NOW).has_value());
    }
    SeededRandom random(5);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = whole;
        damaged[random.below(damaged.size())] = static_cast<char>(random.next());
        (void)decodeSuspectMessage(damaged, RECEIVER_NOW);
    }
}

TEST(SuspectExchange, EightRecordsOfAnUpdateFitIntoADatagram)
{
    SuspectRecord record = makeRecord();
    record.fingerprint = Fingerprint(std::string(32, 'f'));
    record.crashes.pop_back();
    record.untried.clear();
    record.crashes.front().run = UpstreamRunName("i-12345678@1790000000123+0123456789abcdef");
    const SuspectUpdate update{ std::vector<SuspectRecord>(8, record) };
    CHECK_COMPARE(encodeSuspectMessage(update, SENDER_NOW).size(), <, 1100);
}
