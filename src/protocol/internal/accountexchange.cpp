#include "protocol/accountexchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

/// First field of each message, so that other exchanges on the same links are told apart.
constexpr char EXCHANGE[] = "accounts";
/// Rates are sent in thousandths of a request a second.
constexpr double MILLI = 1000;
/// Bounds on what a message may hold.
constexpr std::size_t MOST_ITEMS = 4096;
constexpr std::size_t MOST_NAME = 256;
constexpr std::uint64_t LONGEST_MICROS = 3600ULL * 1'000'000;

enum class MessageKind : std::uint8_t { Ask = 1, Grant };

FieldWriter startMessage(MessageKind kind, std::uint32_t number)
{
    FieldWriter writer;
    writer.add(std::string(EXCHANGE)).add(std::uint64_t(kind)).add(std::uint64_t(number));
    return writer;
}

std::uint64_t microsOf(Duration duration)
{
    return std::uint64_t(std::max<Duration::rep>(duration.count(), 0));
}

PackedFields writeDemand(const TokenDemand &demand)
{
    FieldWriter writer;
    writer.add(demand.account)
        .add(std::uint64_t(demand.waiting))
        .add(std::uint64_t(demand.prefetch))
        .add(std::uint64_t(demand.held))
        .add(std::uint64_t(demand.returned))
        .add(std::uint64_t(std::llround(demand.rate * MILLI)))
        .add(std::uint64_t(std::llround(demand.longTermRate * MILLI)))
        .add(demand.lease)
        .add(microsOf(demand.leaseLeft))
        .add(std::uint64_t(demand.locallyAdmitted));
    return writer.take();
}

PackedFields writePart(const TokenGrant &part)
{
    FieldWriter writer;
    writer.add(part.account)
        .add(part.isFromHome)
        .add(std::uint64_t(part.tokens))
        .add(microsOf(part.emptyFor))
        .add(microsOf(part.retryAfter))
        .add(part.lease)
        .add(microsOf(part.leaseDuration));
    return writer.take();
}

std::string encodeOne(const TokenRequest &ask)
{
    FieldWriter writer = startMessage(MessageKind::Ask, ask.number);
    writer.add(ask.isForFallback);
    for (const TokenDemand &demand : ask.demands) {
        writer.add(writeDemand(demand));
    }
    return writer.take().bytes;
}

std::string encodeOne(const TokenResponse &grant)
{
    FieldWriter writer = startMessage(MessageKind::Grant, grant.number);
    for (const TokenGrant &part : grant.grants) {
        writer.add(writePart(part));
    }
    return writer.take().bytes;
}

void readAccount(FieldReader &reader, AccountName &account)
{
    reader.read(account);
    if (account.value().size() > MOST_NAME) {
        reader.fail();
    }
}

void readMicros(FieldReader &reader, Duration &duration)
{
    std::uint64_t micros = 0;
    reader.read(micros);
    duration = Duration(static_cast<Duration::rep>(std::min(micros, LONGEST_MICROS)));
}

void readLease(FieldReader &reader, RateShare &lease)
{
    reader.read(lease);
    if (lease > WHOLE_RATE) {
        reader.fail();
    }
}

void readRate(FieldReader &reader, double &rate)
{
    std::uint32_t millis = 0;
    reader.read(millis);
    rate = millis / MILLI;
}

TokenDemand readDemand(FieldReader &reader)
{
    TokenDemand demand;
    readAccount(reader, demand.account);
    reader.read(demand.waiting);
    reader.read(demand.prefetch);
    reader.read(demand.held);
    reader.read(demand.returned);
    readRate(reader, demand.rate);
    readRate(reader, demand.longTermRate);
    readLease(reader, demand.lease);
    readMicros(reader, demand.leaseLeft);
    reader.read(demand.locallyAdmitted);
    return demand;
}

TokenGrant readPart(FieldReader &reader)
{
    TokenGrant part;
    readAccount(reader, part.account);
    reader.read(part.isFromHome);
    reader.read(part.tokens);
    readMicros(reader, part.emptyFor);
    readMicros(reader, part.retryAfter);
    readLease(reader, part.lease);
    readMicros(reader, part.leaseDuration);
    return part;
}

template <typename Item, typename ReadItem>
void readItems(FieldReader &reader, std::vector<Item> &items, const ReadItem &readItem)
{
    while (reader.isGood() && !reader.isAtEnd()) {
        FieldReader fields = reader.readArray();
        items.push_back(readItem(fields));
        if (!fields.isGood() || items.size() > MOST_ITEMS) {
            reader.fail();
        }
    }
}

bool isOurs(FieldReader &reader)
{
    std::string exchange;
    reader.read(exchange);
    return reader.isGood() && exchange == EXCHANGE;
}

AccountMessage readBody(MessageKind kind, FieldReader &reader)
{
    if (kind == MessageKind::Ask) {
        TokenRequest ask;
        reader.read(ask.number);
        reader.read(ask.isForFallback);
        readItems(reader, ask.demands, readDemand);
        return ask;
    }
    TokenResponse grant;
    reader.read(grant.number);
    readItems(reader, grant.grants, readPart);
    return grant;
}

} // namespace

std::string encodeAccountMessage(const AccountMessage &message)
{
    return std::visit([](const auto &each) { return encodeOne(each); }, message);
}

bool isAccountMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    return fields && isOurs(*fields);
}

RetVal<AccountMessage> decodeAccountMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    if (!fields || !isOurs(*fields)) {
        return makeError(ErrorCode::NotFound, "a message of another exchange");
    }
    FieldReader &reader = *fields;
    MessageKind kind = MessageKind::Ask;
    reader.read(kind, MessageKind::Grant);
    AccountMessage message = readBody(kind, reader);
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument, "malformed message of accounts");
    }
    return message;
}

} // namespace ivyspar
