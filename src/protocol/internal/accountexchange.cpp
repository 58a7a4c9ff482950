#include "protocol/accountexchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

/// First field of each message; distinguishes the exchanges that share a link.
constexpr char EXCHANGE[] = "accounts";
/// Rates are encoded in thousandths of a request per second.
constexpr double MILLIS_PER_UNIT = 1000;
/// Limits on the content of a message.
constexpr std::size_t MAX_ITEMS = 4096;
constexpr std::size_t MAX_NAME_BYTES = 256;
constexpr std::uint64_t MAX_DURATION_MICROS = 3600ULL * 1'000'000;

enum class MessageKind : std::uint8_t { Request = 1, Response };

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
        .add(std::uint64_t(std::llround(demand.rate * MILLIS_PER_UNIT)))
        .add(std::uint64_t(std::llround(demand.longTermRate * MILLIS_PER_UNIT)))
        .add(demand.lease)
        .add(microsOf(demand.leaseLeft))
        .add(std::uint64_t(demand.locallyAdmitted));
    return writer.take();
}

PackedFields writeGrant(const TokenGrant &grant)
{
    FieldWriter writer;
    writer.add(grant.account)
        .add(grant.isFromHome)
        .add(std::uint64_t(grant.tokens))
        .add(microsOf(grant.emptyFor))
        .add(microsOf(grant.retryAfter))
        .add(grant.lease)
        .add(microsOf(grant.leaseDuration));
    return writer.take();
}

std::string encodeOne(const TokenRequest &request)
{
    FieldWriter writer = startMessage(MessageKind::Request, request.number);
    writer.add(request.isForFallback);
    for (const TokenDemand &demand : request.demands) {
        writer.add(writeDemand(demand));
    }
    return writer.take().bytes;
}

std::string encodeOne(const TokenResponse &response)
{
    FieldWriter writer = startMessage(MessageKind::Response, response.number);
    for (const TokenGrant &grant : response.grants) {
        writer.add(writeGrant(grant));
    }
    return writer.take().bytes;
}

void readAccount(FieldReader &reader, AccountName &account)
{
    reader.read(account);
    if (account.value().size() > MAX_NAME_BYTES) {
        reader.fail();
    }
}

void readMicros(FieldReader &reader, Duration &duration)
{
    std::uint64_t micros = 0;
    reader.read(micros);
    duration = Duration(static_cast<Duration::rep>(std::min(micros, MAX_DURATION_MICROS)));
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
    rate = millis / MILLIS_PER_UNIT;
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

TokenGrant readGrant(FieldReader &reader)
{
    TokenGrant grant;
    readAccount(reader, grant.account);
    reader.read(grant.isFromHome);
    reader.read(grant.tokens);
    readMicros(reader, grant.emptyFor);
    readMicros(reader, grant.retryAfter);
    readLease(reader, grant.lease);
    readMicros(reader, grant.leaseDuration);
    return grant;
}

template <typename Item, typename ReadItem>
void readItems(FieldReader &reader, std::vector<Item> &items, const ReadItem &readItem)
{
    while (reader.isGood() && !reader.isAtEnd()) {
        FieldReader fields = reader.readArray();
        items.push_back(readItem(fields));
        if (!fields.isGood() || items.size() > MAX_ITEMS) {
            reader.fail();
        }
    }
}

bool isThisExchange(FieldReader &reader)
{
    std::string exchange;
    reader.read(exchange);
    return reader.isGood() && exchange == EXCHANGE;
}

AccountMessage readBody(MessageKind kind, FieldReader &reader)
{
    if (kind == MessageKind::Request) {
        TokenRequest request;
        reader.read(request.number);
        reader.read(request.isForFallback);
        readItems(reader, request.demands, readDemand);
        return request;
    }
    TokenResponse response;
    reader.read(response.number);
    readItems(reader, response.grants, readGrant);
    return response;
}

} // namespace

std::string encodeAccountMessage(const AccountMessage &message)
{
    return std::visit([](const auto &each) { return encodeOne(each); }, message);
}

bool isAccountMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    return fields && isThisExchange(*fields);
}

RetVal<AccountMessage> decodeAccountMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    if (!fields || !isThisExchange(*fields)) {
        return makeError(ErrorCode::NotFound, "control message belongs to another exchange");
    }
    FieldReader &reader = *fields;
    MessageKind kind = MessageKind::Request;
    reader.read(kind, MessageKind::Response);
    AccountMessage message = readBody(kind, reader);
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument, "malformed account message");
    }
    return message;
}

} // namespace ivyspar
