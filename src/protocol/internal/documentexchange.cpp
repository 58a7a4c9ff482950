#include "protocol/documentexchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "protocol/internal/fieldcodec.h"

namespace ivyspar {

namespace {

/// First field of each message; distinguishes the exchanges that share a link.
constexpr char EXCHANGE[] = "document";

enum class MessageKind : std::uint8_t { Offer = 1, Request, Push };

FieldWriter startMessage(MessageKind kind)
{
    FieldWriter writer;
    writer.add(std::string(EXCHANGE)).add(std::uint64_t(kind));
    return writer;
}

std::string encodeOne(const DocumentOffer &offer)
{
    FieldWriter writer = startMessage(MessageKind::Offer);
    writer.add(offer.version);
    if (offer.age) {
        writer.add(std::uint64_t(std::max(offer.age->count(), Duration::rep(0))));
    }
    return writer.take().bytes;
}

std::string encodeOne(const DocumentRequest &request)
{
    return startMessage(MessageKind::Request).add(request.version).take().bytes;
}

std::string encodeOne(const DocumentPush &push)
{
    return startMessage(MessageKind::Push).add(push.document).take().bytes;
}

std::optional<Duration> readAge(FieldReader &reader)
{
    if (reader.isAtEnd()) {
        return std::nullopt;
    }
    std::uint64_t micros = 0;
    reader.read(micros);
    constexpr auto MAX_MICROS = std::uint64_t(std::numeric_limits<Duration::rep>::max());
    return Duration(static_cast<Duration::rep>(std::min(micros, MAX_MICROS)));
}

DocumentMessage readBody(MessageKind kind, FieldReader &reader)
{
    if (kind == MessageKind::Push) {
        DocumentPush push;
        reader.read(push.document);
        return push;
    }
    ConfigurationVersion version;
    reader.read(version);
    if (kind == MessageKind::Offer) {
        return DocumentOffer{ version, readAge(reader) };
    }
    return DocumentRequest{ version };
}

} // namespace

std::string encodeDocumentMessage(const DocumentMessage &message)
{
    return std::visit([](const auto &each) { return encodeOne(each); }, message);
}

RetVal<DocumentMessage> decodeDocumentMessage(const std::string &payload)
{
    auto fields = FieldReader::open(payload);
    if (!fields) {
        return makeError(ErrorCode::NotFound, "control message is not a CBOR array");
    }
    FieldReader &reader = *fields;
    std::string exchange;
    reader.read(exchange);
    if (!reader.isGood() || exchange != EXCHANGE) {
        return makeError(ErrorCode::NotFound, "control message belongs to another exchange");
    }
    MessageKind kind = MessageKind::Offer;
    reader.read(kind, MessageKind::Push);
    DocumentMessage message = readBody(kind, reader);
    if (!reader.isGood()) {
        return makeError(ErrorCode::InvalidArgument, "malformed document message");
    }
    return message;
}

} // namespace ivyspar
