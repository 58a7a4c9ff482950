#include "protocol/suspectexchange.h"

#include <algorithm>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

/// First field of each message; distinguishes the exchanges that share a link.
constexpr char EXCHANGE[] = "suspects";
/// Larger ages are reduced to this: a crash so old has no effect any more, and an age that
/// overflows would put the crash into the future, where it never expires.
constexpr std::uint64_t MAX_AGE_MICROS = 7ULL * 24 * 3600 * 1'000'000;
/// Limits on the content of a message.
constexpr std::size_t MAX_RECORDS = 4096;
constexpr std::size_t MAX_ITEMS = 64;
constexpr std::size_t MAX_TEXT_BYTES = 256;

/// First field of a record in a store.
constexpr char STORED_RECORD[] = "suspect";
constexpr std::uint64_t MICROS_PER_MILLI = 1000;

enum class MessageKind : std::uint8_t { Digest = 1, Update, Snapshot };

FieldWriter startMessage(MessageKind kind)
{
    FieldWriter writer;
    writer.add(std::string(EXCHANGE)).add(std::uint64_t(kind));
    return writer;
}

std::uint64_t ageOf(TimePoint at, TimePoint now)
{
    const auto age = std::chrono::duration_cast<Duration>(now - at).count();
    return std::uint64_t(std::max(age, Duration::rep(0)));
}

PackedFields writeCrash(const Crash &crash, TimePoint now)
{
    FieldWriter writer;
    writer.add(crash.run)
        .add(crash.kind.service)
        .add(crash.kind.version)
        .add(ageOf(crash.at, now))
        .add(crash.wasIsolated)
        .add(crash.isTrial);
    return writer.take();
}

PackedFields writeKinds(const std::vector<ServerKind> &kinds)
{
    FieldWriter writer;
    for (const ServerKind &kind : kinds) {
        writer.add(FieldWriter().add(kind.service).add(kind.version).take());
    }
    return writer.take();
}

PackedFields writeRecord(const SuspectRecord &record, TimePoint now)
{
    FieldWriter crashes;
    for (const Crash &crash : record.crashes) {
        crashes.add(writeCrash(crash, now));
    }
    FieldWriter writer;
    writer.add(record.fingerprint).add(std::uint64_t(record.epoch));
    writer.add(ageOf(record.changedAt, now)).add(crashes.take());
    writer.add(writeKinds(record.completed)).add(writeKinds(record.untried));
    return writer.take();
}

PackedFields writeRecords(const std::vector<SuspectRecord> &records, TimePoint now)
{
    FieldWriter writer;
    for (const SuspectRecord &record : records) {
        writer.add(writeRecord(record, now));
    }
    return writer.take();
}

std::string encodeOne(const SuspectDigest &digest, TimePoint /*now*/)
{
    return startMessage(MessageKind::Digest).add(digest.digest).take().bytes;
}

std::string encodeOne(const SuspectUpdate &update, TimePoint now)
{
    return startMessage(MessageKind::Update).add(writeRecords(update.records, now)).take().bytes;
}

std::string encodeOne(const SuspectSnapshot &snapshot, TimePoint now)
{
    FieldWriter writer = startMessage(MessageKind::Snapshot);
    writer.add(snapshot.digest)
        .add(snapshot.isReplyRequested)
        .add(writeRecords(snapshot.records, now));
    return writer.take().bytes;
}

template <typename Text> void readText(FieldReader &reader, Text &text)
{
    reader.read(text);
    if (text.value().size() > MAX_TEXT_BYTES) {
        reader.fail();
    }
}

void readTime(FieldReader &reader, TimePoint now, TimePoint &at)
{
    std::uint64_t age = 0;
    reader.read(age);
    at = now - Duration(static_cast<Duration::rep>(std::min(age, MAX_AGE_MICROS)));
}

/// Reads an array of at most `maxItems` arrays of fields.
template <typename ReadFields>
void readItems(FieldReader &reader, std::size_t maxItems, const ReadFields &readFields)
{
    FieldReader list = reader.readArray();
    for (std::size_t count = 0; list.isGood() && !list.isAtEnd(); ++count) {
        FieldReader fields = list.readArray();
        readFields(fields);
        if (!fields.isGood() || count >= maxItems) {
            list.fail();
        }
    }
    if (!list.isGood()) {
        reader.fail();
    }
}

void readKind(FieldReader &reader, ServerKind &kind)
{
    readText(reader, kind.service);
    readText(reader, kind.version);
}

void readKinds(FieldReader &reader, std::vector<ServerKind> &kinds)
{
    readItems(reader, MAX_ITEMS,
              [&](FieldReader &fields) { readKind(fields, kinds.emplace_back()); });
}

void readCrash(FieldReader &reader, TimePoint now, Crash &crash)
{
    readText(reader, crash.run);
    readKind(reader, crash.kind);
    readTime(reader, now, crash.at);
    reader.read(crash.wasIsolated);
    reader.read(crash.isTrial);
}

void readRecord(FieldReader &reader, TimePoint now, SuspectRecord &record)
{
    readText(reader, record.fingerprint);
    reader.read(record.epoch);
    readTime(reader, now, record.changedAt);
    readItems(reader, MAX_ITEMS,
              [&](FieldReader &fields) { readCrash(fields, now, record.crashes.emplace_back()); });
    readKinds(reader, record.completed);
    readKinds(reader, record.untried);
}

std::vector<SuspectRecord> readRecords(FieldReader &reader, TimePoint now)
{
    std::vector<SuspectRecord> records;
    readItems(reader, MAX_RECORDS,
              [&](FieldReader &fields) { readRecord(fields, now, records.emplace_back()); });
    return records;
}

SuspectMessage readBody(MessageKind kind, FieldReader &reader, TimePoint now)
{
    if (kind == MessageKind::Update) {
        return SuspectUpdate{ readRecords(reader, now) };
    }
    if (kind == MessageKind::Snapshot) {
        SuspectSnapshot snapshot;
        reader.read(snapshot.digest);
        reader.read(snapshot.isReplyRequested);
        snapshot.records = readRecords(reader, now);
        return snapshot;
    }
    SuspectDigest digest;
    reader.read(digest.digest);
    return digest;
}

bool isThisExchange(FieldReader &reader)
{
    std::string exchange;
    reader.read(exchange);
    return reader.isGood() && exchange == EXCHANGE;
}

} // namespace

std::string encodeSuspectMessage(const SuspectMessage &message, TimePoint now)
{
    return std::visit([now](const auto &each) { return encodeOne(each, now); }, message);
}

std::string encodeStoredSuspect(const SuspectRecord &record, TimePoint now,
                                std::uint64_t unixMillis)
{
    FieldWriter writer;
    writer.add(std::string(STORED_RECORD)).add(unixMillis).add(writeRecord(record, now));
    return writer.take().bytes;
}

RetVal<SuspectRecord> decodeStoredSuspect(const std::string &value, TimePoint now,
                                          std::uint64_t unixMillis)
{
    auto fields = FieldReader::open(value);
    std::string kind;
    std::uint64_t writtenAt = 0;
    SuspectRecord record;
    if (fields) {
        fields->read(kind);
        fields->read(writtenAt);
        FieldReader content = fields->readArray();
        // The clocks of two daemons differ: a record from the future is as old as a new one.
        const std::uint64_t age = unixMillis - std::min(writtenAt, unixMillis);
        const std::uint64_t micros =
            std::min(age, MAX_AGE_MICROS / MICROS_PER_MILLI) * MICROS_PER_MILLI;
        readRecord(content, now - Duration(static_cast<Duration::rep>(micros)), record);
        if (!content.isGood()) {
            fields->fail();
        }
    }
    if (!fields || !fields->isGood() || kind != STORED_RECORD) {
        return makeError(ErrorCode::InvalidArgument, "malformed record of a suspect");
    }
    return record;
}

bool isSuspectMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    return fields && isThisExchange(*fields);
}

RetVal<SuspectMessage> decodeSuspectMessage(const std::string &payload, TimePoint now)
{
    auto fields = FieldReader::open(payload);
    if (!fields || !isThisExchange(*fields)) {
        return makeError(ErrorCode::NotFound, "control message belongs to another exchange");
    }
    FieldReader &reader = *fields;
    MessageKind kind = MessageKind::Digest;
    reader.read(kind, MessageKind::Snapshot);
    SuspectMessage message = readBody(kind, reader, now);
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument, "malformed suspect message");
    }
    return message;
}

} // namespace ivyspar
