#include "protocol/internal/peercodec.h"

#include <algorithm>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

/// Range of the status of a final response; a three-digit number.
constexpr std::uint16_t FIRST_STATUS = 200;
constexpr std::uint16_t LAST_STATUS = 999;

enum class FrameKind : std::uint8_t { Hello = 1, Call, Response, Cancel, Probe, Load, Control };

FieldWriter startFrame(FrameKind kind)
{
    FieldWriter writer;
    writer.add(std::uint64_t(kind));
    return writer;
}

std::string endFrame(FieldWriter &writer)
{
    return writer.take().bytes;
}

void addDuration(FieldWriter &writer, Duration duration)
{
    writer.add(std::uint64_t(std::max<Duration::rep>(0, duration.count())));
}

void readDuration(FieldReader &reader, Duration &duration)
{
    constexpr std::uint64_t MAX_MICROS = 1ULL << 62U;
    std::uint64_t micros = 0;
    reader.read(micros);
    if (micros > MAX_MICROS) {
        reader.fail();
        return;
    }
    duration = Duration(static_cast<Duration::rep>(micros));
}

void addHeaders(FieldWriter &writer, const std::vector<HttpHeader> &headers)
{
    FieldWriter list;
    for (const HttpHeader &header : headers) {
        list.add(header.name).add(header.value);
    }
    writer.add(list.take());
}

void readHeaders(FieldReader &reader, std::vector<HttpHeader> &headers)
{
    FieldReader items = reader.readArray();
    while (items.isGood() && !items.isAtEnd()) {
        HttpHeader &header = headers.emplace_back();
        items.read(header.name);
        items.read(header.value);
    }
    if (!items.isGood()) {
        reader.fail();
    }
}

void addLoad(FieldWriter &writer, const LoadReport &load)
{
    writer.add(std::uint64_t(load.inFlight)).add(std::uint64_t(load.queued));
    writer.add(std::uint64_t(load.limit)).add(load.floor).add(load.draining);
    writer.add(load.demand);
}

void readLoad(FieldReader &reader, LoadReport &load)
{
    reader.read(load.inFlight);
    reader.read(load.queued);
    reader.read(load.limit);
    reader.read(load.floor);
    reader.read(load.draining);
    reader.read(load.demand);
}

void addUsage(FieldWriter &writer, const TreeUsage &usage)
{
    FieldWriter list;
    for (const ServiceUsage &each : usage) {
        list.add(each.service);
        addDuration(list, each.busy);
        list.add(each.load).add(each.loss).add(std::uint64_t(each.calls));
    }
    writer.add(list.take());
}

void readUsage(FieldReader &reader, TreeUsage &usage)
{
    FieldReader items = reader.readArray();
    while (items.isGood() && !items.isAtEnd()) {
        ServiceUsage each;
        items.read(each.service);
        readDuration(items, each.busy);
        items.read(each.load);
        items.read(each.loss);
        items.read(each.calls);
        usage.push_back(std::move(each));
    }
    if (!items.isGood()) {
        reader.fail();
    }
}

void addNotice(FieldWriter &writer, const std::optional<UpstreamNotice> &notice)
{
    writer.add(notice.has_value());
    if (!notice) {
        return;
    }
    writer.add(notice->run);
    if (notice->run.value().empty()) {
        return;
    }
    writer.add(notice->rateLimit.has_value());
    writer.add(notice->rateLimit.value_or(RequestRate())).add(notice->isLeaving);
}

/// Frames of older daemons end before this field.
void readNotice(FieldReader &reader, std::optional<UpstreamNotice> &notice)
{
    bool isPresent = false;
    if (!reader.isAtEnd()) {
        reader.read(isPresent);
    }
    if (!isPresent) {
        return;
    }
    notice.emplace();
    reader.read(notice->run);
    if (notice->run.value().empty()) {
        return;
    }
    bool isLimited = false;
    RequestRate rate;
    reader.read(isLimited);
    reader.read(rate);
    reader.read(notice->isLeaving);
    if (isLimited) {
        notice->rateLimit = rate;
    }
}

void addObjective(FieldWriter &writer, const std::optional<Duration> &objectiveLeft)
{
    writer.add(objectiveLeft.has_value());
    addDuration(writer, objectiveLeft.value_or(Duration::zero()));
}

/// Frames of older daemons end before these fields.
void readObjective(FieldReader &reader, std::optional<Duration> &objectiveLeft)
{
    if (reader.isAtEnd()) {
        return;
    }
    bool isPresent = false;
    Duration left{ 0 };
    reader.read(isPresent);
    readDuration(reader, left);
    if (isPresent) {
        objectiveLeft = left;
    }
}

/// Not with the other fields of the load: older daemons read these up to their last one.
void readSpeed(FieldReader &reader, LoadReport &load)
{
    if (!reader.isAtEnd()) {
        reader.read(load.speed);
    }
}

std::string encodeOne(const HelloMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Hello);
    writer.add(std::uint64_t(message.protocol)).add(message.daemon);
    writer.add(message.incarnation).add(message.domain);
    return endFrame(writer);
}

void addOnce(FieldWriter &writer, const std::optional<OnceTerms> &once)
{
    writer.add(once.has_value());
    if (!once) {
        return;
    }
    writer.add(once->key);
    addDuration(writer, once->keyLifetime);
    writer.add(once->ticket);
}

std::string encodeOne(const CallMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Call);
    writer.add(message.stream).add(message.root).add(message.service).add(message.rule);
    writer.add(message.rank).add(message.depth);
    addDuration(writer, message.remaining);
    writer.add(message.admittedShare)
        .add(message.isRepeat)
        .add(message.granted)
        .add(message.request.method)
        .add(message.request.target);
    addHeaders(writer, message.request.headers);
    writer.add(message.request.body.text());
    addOnce(writer, message.once);
    writer.add(message.fingerprint).add(message.account);
    addNotice(writer, message.notice);
    addObjective(writer, message.objectiveLeft);
    if (message.mayGoElsewhere) {
        writer.add(message.mayGoElsewhere);
    }
    return endFrame(writer);
}

/// Daemons of older versions close the link at a reason that they do not know.
Reason compatibleReason(Reason reason)
{
    return reason == Reason::RateLimited ? Reason::QueueFull : reason;
}

std::string encodeOne(const ResponseMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Response);
    writer.add(message.stream);
    writer.add(std::uint64_t(message.verdict.outcome));
    writer.add(std::uint64_t(compatibleReason(message.verdict.reason)));
    addDuration(writer, message.verdict.retryAfter);
    writer.add(message.unspent);
    addDuration(writer, message.serviceTime);
    addLoad(writer, message.load);
    addUsage(writer, message.usage);
    writer.add(message.holder).add(std::uint64_t(message.response.status));
    addHeaders(writer, message.response.headers);
    writer.add(message.response.body.text());
    addNotice(writer, message.notice);
    writer.add(message.verdict.reason == Reason::RateLimited);
    writer.add(message.load.speed);
    return endFrame(writer);
}

std::string encodeOne(const CancelMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Cancel);
    writer.add(message.stream);
    return endFrame(writer);
}

std::string encodeOne(const ProbeMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Probe);
    writer.add(message.stream).add(message.service);
    return endFrame(writer);
}

std::string encodeOne(const LoadMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Load);
    writer.add(message.stream).add(message.service);
    addLoad(writer, message.load);
    writer.add(message.load.speed);
    return endFrame(writer);
}

std::string encodeOne(const ControlMessage &message)
{
    FieldWriter writer = startFrame(FrameKind::Control);
    writer.add(message.from).add(message.payload);
    return endFrame(writer);
}

HelloMessage readHello(FieldReader &reader)
{
    HelloMessage message;
    reader.read(message.protocol);
    reader.read(message.daemon);
    reader.read(message.incarnation);
    reader.read(message.domain);
    return message;
}

void readOnce(FieldReader &reader, std::optional<OnceTerms> &once)
{
    bool isPresent = false;
    reader.read(isPresent);
    if (!isPresent) {
        return;
    }
    once.emplace();
    reader.read(once->key);
    readDuration(reader, once->keyLifetime);
    reader.read(once->ticket);
}

void readBody(FieldReader &reader, HttpBody &body)
{
    std::string bytes;
    reader.read(bytes);
    body = std::move(bytes);
}

CallMessage readCall(FieldReader &reader)
{
    CallMessage message;
    reader.read(message.stream);
    reader.read(message.root);
    reader.read(message.service);
    reader.read(message.rule);
    reader.read(message.rank);
    reader.read(message.depth);
    readDuration(reader, message.remaining);
    reader.read(message.admittedShare);
    reader.read(message.isRepeat);
    reader.read(message.granted);
    reader.read(message.request.method);
    reader.read(message.request.target);
    readHeaders(reader, message.request.headers);
    readBody(reader, message.request.body);
    readOnce(reader, message.once);
    if (!reader.isAtEnd()) {
        reader.read(message.fingerprint);
    }
    if (!reader.isAtEnd()) {
        reader.read(message.account);
    }
    readNotice(reader, message.notice);
    readObjective(reader, message.objectiveLeft);
    if (!reader.isAtEnd()) {
        reader.read(message.mayGoElsewhere);
    }
    return message;
}

ResponseMessage readResponse(FieldReader &reader)
{
    ResponseMessage message;
    reader.read(message.stream);
    reader.read(message.verdict.outcome, Outcome::Unknown);
    reader.read(message.verdict.reason, Reason::Last);
    readDuration(reader, message.verdict.retryAfter);
    reader.read(message.unspent);
    readDuration(reader, message.serviceTime);
    readLoad(reader, message.load);
    readUsage(reader, message.usage);
    reader.read(message.holder);
    reader.read(message.response.status);
    const std::uint16_t status = message.response.status;
    const bool isFinal = status >= FIRST_STATUS && status <= LAST_STATUS;
    if (message.verdict.outcome == Outcome::Answered && !isFinal) {
        reader.fail();
    }
    readHeaders(reader, message.response.headers);
    readBody(reader, message.response.body);
    readNotice(reader, message.notice);
    bool isRateLimited = false;
    if (!reader.isAtEnd()) {
        reader.read(isRateLimited);
    }
    if (isRateLimited) {
        message.verdict.reason = Reason::RateLimited;
    }
    readSpeed(reader, message.load);
    return message;
}

ProbeMessage readProbe(FieldReader &reader)
{
    ProbeMessage message;
    reader.read(message.stream);
    reader.read(message.service);
    return message;
}

LoadMessage readLoadMessage(FieldReader &reader)
{
    LoadMessage message;
    reader.read(message.stream);
    reader.read(message.service);
    readLoad(reader, message.load);
    readSpeed(reader, message.load);
    return message;
}

ControlMessage readControl(FieldReader &reader)
{
    ControlMessage message;
    reader.read(message.from);
    reader.read(message.payload);
    return message;
}

CancelMessage readCancel(FieldReader &reader)
{
    CancelMessage message;
    reader.read(message.stream);
    return message;
}

PeerMessage readMessage(FrameKind kind, FieldReader &reader)
{
    switch (kind) {
    case FrameKind::Hello:
        return readHello(reader);
    case FrameKind::Call:
        return readCall(reader);
    case FrameKind::Response:
        return readResponse(reader);
    case FrameKind::Cancel:
        return readCancel(reader);
    case FrameKind::Probe:
        return readProbe(reader);
    case FrameKind::Load:
        return readLoadMessage(reader);
    case FrameKind::Control:
        return readControl(reader);
    }
    return HelloMessage();
}

} // namespace

std::string PeerCodec::encode(const PeerMessage &message) const
{
    return std::visit([](const auto &one) { return encodeOne(one); }, message);
}

RetVal<PeerMessage> PeerCodec::decode(const std::string &frame) const
{
    auto fields = FieldReader::open(frame);
    if (!fields) {
        return makeError(ErrorCode::InvalidArgument, "the frame is not a CBOR array");
    }
    FieldReader &reader = *fields;
    std::uint8_t kind = 0;
    reader.read(kind);
    if (!reader.isGood() || kind < static_cast<std::uint8_t>(FrameKind::Hello)
        || kind > static_cast<std::uint8_t>(FrameKind::Control)) {
        return makeError(ErrorCode::InvalidArgument, "the frame's kind is unknown");
    }
    PeerMessage message = readMessage(static_cast<FrameKind>(kind), reader);
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument,
                         "a field of the frame is missing or malformed");
    }
    return message;
}

} // namespace ivyspar
