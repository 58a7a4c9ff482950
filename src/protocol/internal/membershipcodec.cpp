#include "protocol/internal/membershipcodec.h"

#include <algorithm>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

enum class BodyKind : std::uint8_t { Ping = 1, Ack, PingRequest, Gossip, SyncRequest, SyncReply };

PackedFields writeEndpoint(const Endpoint &endpoint)
{
    return FieldWriter().add(endpoint.address).add(std::uint64_t(endpoint.port)).take();
}

void readEndpoint(FieldReader &reader, Endpoint &endpoint)
{
    FieldReader items = reader.readArray();
    items.read(endpoint.address);
    items.read(endpoint.port);
    if (!items.isGood()) {
        reader.fail();
    }
}

/// One day: no server is cold for longer, and sums of such times cannot overflow.
constexpr std::uint64_t MAX_COLD_MICROS = 86'400'000'000;

Duration::rep coldMicros(const UpstreamInfo &upstream)
{
    return upstream.coldLeft.value_or(Duration::zero()).count();
}

/// Without id, incarnation and counter, which the update with the record contains.
PackedFields writeRecord(const Member &member)
{
    FieldWriter writer;
    writer.add(member.domain).add(writeEndpoint(member.peerEndpoint)).add(member.leaving);
    for (const UpstreamInfo &upstream : member.upstreams) {
        writer.add(upstream.service).add(std::uint64_t(upstream.slots));
        writer.add(std::uint64_t(upstream.connections)).add(upstream.draining);
        writer.add(upstream.coldLeft.has_value());
        writer.add(std::uint64_t(std::max<Duration::rep>(0, coldMicros(upstream))));
    }
    return writer.take();
}

void readRecord(FieldReader &reader, Member &member)
{
    reader.read(member.domain);
    readEndpoint(reader, member.peerEndpoint);
    reader.read(member.leaving);
    while (reader.isGood() && !reader.isAtEnd()) {
        UpstreamInfo upstream;
        reader.read(upstream.service);
        reader.read(upstream.slots);
        reader.read(upstream.connections);
        reader.read(upstream.draining);
        bool hasColdLeft = false;
        std::uint64_t micros = 0;
        reader.read(hasColdLeft);
        reader.read(micros);
        if (hasColdLeft) {
            upstream.coldLeft = Duration(std::min(micros, MAX_COLD_MICROS));
        }
        member.upstreams.push_back(std::move(upstream));
    }
}

void writeUpdate(FieldWriter &writer, const MemberUpdate &update)
{
    FieldWriter fields;
    fields.add(update.id).add(update.incarnation).add(update.counter);
    fields.add(std::uint64_t(update.health)).add(update.recordCounter);
    if (update.record) {
        fields.add(writeRecord(*update.record));
    }
    writer.add(fields.take());
}

void readUpdate(FieldReader &reader, MemberUpdate &update)
{
    reader.read(update.id);
    reader.read(update.incarnation);
    reader.read(update.counter);
    reader.read(update.health, MemberHealth::Left);
    reader.read(update.recordCounter);
    if (!reader.isGood() || reader.isAtEnd()) {
        return;
    }
    Member member;
    FieldReader items = reader.readArray();
    readRecord(items, member);
    if (!items.isGood()) {
        reader.fail();
        return;
    }
    member.id = update.id;
    member.incarnation = update.incarnation;
    member.counter = update.recordCounter;
    update.record = std::move(member);
}

PackedFields writeUpdates(const std::vector<MemberUpdate> &updates)
{
    FieldWriter writer;
    for (const MemberUpdate &update : updates) {
        writeUpdate(writer, update);
    }
    return writer.take();
}

void readUpdates(FieldReader &reader, std::vector<MemberUpdate> &updates)
{
    FieldReader list = reader.readArray();
    if (!list.isGood()) {
        reader.fail();
    }
    while (list.isGood() && !list.isAtEnd()) {
        MemberUpdate update;
        FieldReader items = list.readArray();
        readUpdate(items, update);
        if (!items.isGood()) {
            reader.fail();
            return;
        }
        updates.push_back(std::move(update));
    }
}

void addKind(FieldWriter &writer, BodyKind kind)
{
    writer.add(std::uint64_t(kind));
}

void writeBody(FieldWriter &writer, const PingMessage &ping)
{
    addKind(writer, BodyKind::Ping);
    writer.add(ping.sequence).add(ping.target).add(ping.targetIncarnation);
    writer.add(ping.targetCounter).add(std::uint64_t(ping.targetHealth));
}

void writeBody(FieldWriter &writer, const AckMessage &ack)
{
    addKind(writer, BodyKind::Ack);
    writer.add(ack.sequence).add(ack.target);
}

void writeBody(FieldWriter &writer, const PingRequestMessage &request)
{
    addKind(writer, BodyKind::PingRequest);
    writer.add(request.sequence).add(request.target).add(writeEndpoint(request.targetEndpoint));
}

void writeBody(FieldWriter &writer, const GossipMessage & /*gossip*/)
{
    addKind(writer, BodyKind::Gossip);
}

void writeBody(FieldWriter &writer, const SyncRequestMessage &request)
{
    addKind(writer, BodyKind::SyncRequest);
    for (const std::uint64_t bucket : request.buckets) {
        writer.add(bucket);
    }
}

void writeBody(FieldWriter &writer, const SyncReplyMessage &reply)
{
    addKind(writer, BodyKind::SyncReply);
    writer.add(reply.covered).add(writeUpdates(reply.records));
}

PingMessage readPing(FieldReader &reader)
{
    PingMessage ping;
    reader.read(ping.sequence);
    reader.read(ping.target);
    reader.read(ping.targetIncarnation);
    reader.read(ping.targetCounter);
    reader.read(ping.targetHealth, MemberHealth::Left);
    return ping;
}

AckMessage readAck(FieldReader &reader)
{
    AckMessage ack;
    reader.read(ack.sequence);
    reader.read(ack.target);
    return ack;
}

PingRequestMessage readPingRequest(FieldReader &reader)
{
    PingRequestMessage request;
    reader.read(request.sequence);
    reader.read(request.target);
    readEndpoint(reader, request.targetEndpoint);
    return request;
}

SyncRequestMessage readSyncRequest(FieldReader &reader)
{
    SyncRequestMessage request;
    while (reader.isGood() && !reader.isAtEnd()) {
        reader.read(request.buckets.emplace_back());
    }
    return request;
}

SyncReplyMessage readSyncReply(FieldReader &reader)
{
    SyncReplyMessage reply;
    reader.read(reply.covered);
    readUpdates(reader, reply.records);
    return reply;
}

MembershipBody readBody(BodyKind kind, FieldReader &reader)
{
    switch (kind) {
    case BodyKind::Ping:
        return readPing(reader);
    case BodyKind::Ack:
        return readAck(reader);
    case BodyKind::PingRequest:
        return readPingRequest(reader);
    case BodyKind::Gossip:
        return GossipMessage();
    case BodyKind::SyncRequest:
        return readSyncRequest(reader);
    case BodyKind::SyncReply:
        return readSyncReply(reader);
    }
    reader.fail();
    return GossipMessage();
}

} // namespace

std::string encodeMembership(const MembershipMessage &message)
{
    FieldWriter writer;
    writer.add(writeEndpoint(message.sender)).add(message.digest);
    writer.add(writeUpdates(message.updates));
    std::visit([&writer](const auto &body) { writeBody(writer, body); }, message.body);
    return writer.take().bytes;
}

RetVal<MembershipMessage> decodeMembership(const std::string &bytes)
{
    auto fields = FieldReader::open(bytes);
    if (!fields) {
        return makeError(ErrorCode::InvalidArgument, "the payload is not a CBOR array");
    }
    MembershipMessage message;
    FieldReader &reader = *fields;
    readEndpoint(reader, message.sender);
    reader.read(message.digest);
    readUpdates(reader, message.updates);
    std::uint8_t kind = 0;
    reader.read(kind);
    if (reader.isGood()) {
        message.body = readBody(static_cast<BodyKind>(kind), reader);
    }
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument,
                         "a field of the membership message is missing or malformed");
    }
    return message;
}

} // namespace ivyspar
