#include "protocol/internal/peercodec.h"

#include <limits>
#include <type_traits>
#include <utility>

#include "protocol/internal/boundedcbor.h"

namespace ivyspar {

namespace {

using Json = nlohmann::json;

enum class FrameKind : std::uint8_t { Hello = 1, Call, Answer, Cancel, Probe, Load, Control };

/// Appends fields to a frame.
class FrameWriter
{
public:
    explicit FrameWriter(FrameKind kind)
        : m_fields(Json::array({ static_cast<std::uint8_t>(kind) }))
    {
    }

    FrameWriter &add(std::uint64_t value) { return push(value); }
    FrameWriter &add(bool value) { return push(value); }
    FrameWriter &add(const std::string &value) { return push(value); }
    FrameWriter &add(Duration value)
    {
        return push(std::uint64_t(std::max<Duration::rep>(0, value.count())));
    }

    template <typename T, typename Tag> FrameWriter &add(const StrongType<T, Tag> &value)
    {
        return push(value.value());
    }

    FrameWriter &addBytes(const std::string &value)
    {
        return push(Json::binary({ value.begin(), value.end() }));
    }

    /// Header values are bytes of the network: CBOR text must be UTF-8, so they go as binary.
    FrameWriter &add(const std::vector<HttpHeader> &headers)
    {
        Json list = Json::array();
        for (const HttpHeader &header : headers) {
            list.push_back(Json::binary({ header.name.begin(), header.name.end() }));
            list.push_back(Json::binary({ header.value.begin(), header.value.end() }));
        }
        return push(std::move(list));
    }

    std::string frame() const { return toCbor(m_fields); }

private:
    template <typename T> FrameWriter &push(T &&value)
    {
        m_fields.push_back(std::forward<T>(value));
        return *this;
    }

    Json m_fields;
};

/// Takes fields from a frame in order. The first one that is missing or of a wrong type or range
/// makes the whole frame bad; the reads after it do nothing.
class FrameReader
{
public:
    explicit FrameReader(const Json &fields)
        : m_fields(fields)
    {
    }

    bool isGood() const { return m_isGood; }

    template <typename T>
    std::enable_if_t<std::is_unsigned_v<T> && !std::is_same_v<T, bool>> read(T &value)
    {
        const Json *field = next();
        if (!field || !field->is_number_unsigned()
            || field->get<std::uint64_t>() > std::numeric_limits<T>::max()) {
            m_isGood = false;
            return;
        }
        value = static_cast<T>(field->get<std::uint64_t>());
    }

    void read(bool &value)
    {
        const Json *field = next();
        if (!field || !field->is_boolean()) {
            m_isGood = false;
            return;
        }
        value = field->get<bool>();
    }

    void read(std::string &value)
    {
        const Json *field = next();
        if (!field || !field->is_string()) {
            m_isGood = false;
            return;
        }
        value = field->get_ref<const std::string &>();
    }

    void read(Duration &value)
    {
        std::uint64_t micros = 0;
        read(micros);
        constexpr std::uint64_t MAX_MICROS = 1ULL << 62U;
        m_isGood = m_isGood && micros <= MAX_MICROS;
        value = Duration(static_cast<Duration::rep>(m_isGood ? micros : 0));
    }

    template <typename T, typename Tag> void read(StrongType<T, Tag> &value)
    {
        T plain{};
        read(plain);
        value = StrongType<T, Tag>(std::move(plain));
    }

    template <typename Enum> std::enable_if_t<std::is_enum_v<Enum>> read(Enum &value, Enum last)
    {
        std::uint8_t plain = 0;
        read(plain);
        m_isGood = m_isGood && plain <= static_cast<std::uint8_t>(last);
        value = static_cast<Enum>(m_isGood ? plain : 0);
    }

    void readBytes(std::string &value)
    {
        const Json *field = next();
        if (!field || !field->is_binary()) {
            m_isGood = false;
            return;
        }
        const auto &bytes = field->get_binary();
        value.assign(bytes.begin(), bytes.end());
    }

    void read(std::vector<HttpHeader> &headers)
    {
        const Json *field = next();
        if (!field || !field->is_array() || field->size() % 2 != 0) {
            m_isGood = false;
            return;
        }
        FrameReader items(*field);
        headers.resize(field->size() / 2);
        for (HttpHeader &header : headers) {
            items.readBytes(header.name);
            items.readBytes(header.value);
        }
        m_isGood = m_isGood && items.isGood();
    }

private:
    const Json *next()
    {
        if (!m_isGood || m_at >= m_fields.size()) {
            return nullptr;
        }
        return &m_fields[m_at++];
    }

    const Json &m_fields;
    std::size_t m_at = 0;
    bool m_isGood = true;
};

void addLoad(FrameWriter &writer, const LoadReport &load)
{
    writer.add(std::uint64_t(load.inFlight)).add(std::uint64_t(load.queued));
    writer.add(std::uint64_t(load.limit)).add(load.floor).add(load.draining);
}

void readLoad(FrameReader &reader, LoadReport &load)
{
    reader.read(load.inFlight);
    reader.read(load.queued);
    reader.read(load.limit);
    reader.read(load.floor);
    reader.read(load.draining);
}

std::string encodeOne(const HelloMessage &message)
{
    FrameWriter writer(FrameKind::Hello);
    writer.add(std::uint64_t(message.protocol)).add(message.daemon);
    writer.add(message.incarnation).add(message.domain);
    return writer.frame();
}

std::string encodeOne(const CallMessage &message)
{
    FrameWriter writer(FrameKind::Call);
    writer.add(message.stream).add(message.root).add(message.service).add(message.rule);
    writer.add(message.rank).add(message.depth).add(message.remaining).add(message.granted);
    writer.addBytes(message.request.method).addBytes(message.request.target);
    writer.add(message.request.headers).addBytes(message.request.body);
    writer.add(message.once.has_value());
    if (message.once) {
        writer.addBytes(message.once->key.value()).add(message.once->keyLifetime);
        writer.addBytes(message.once->ticket);
    }
    return writer.frame();
}

std::string encodeOne(const AnswerMessage &message)
{
    FrameWriter writer(FrameKind::Answer);
    writer.add(message.stream);
    writer.add(std::uint64_t(message.verdict.outcome)).add(std::uint64_t(message.verdict.reason));
    writer.add(message.verdict.retryAfter).add(message.unspent).add(message.serviceTime);
    addLoad(writer, message.load);
    writer.add(message.holder).add(std::uint64_t(message.response.status));
    writer.add(message.response.headers).addBytes(message.response.body);
    return writer.frame();
}

std::string encodeOne(const CancelMessage &message)
{
    return FrameWriter(FrameKind::Cancel).add(message.stream).frame();
}

std::string encodeOne(const ProbeMessage &message)
{
    return FrameWriter(FrameKind::Probe).add(message.stream).add(message.service).frame();
}

std::string encodeOne(const LoadMessage &message)
{
    FrameWriter writer(FrameKind::Load);
    writer.add(message.stream).add(message.service);
    addLoad(writer, message.load);
    return writer.frame();
}

std::string encodeOne(const ControlMessage &message)
{
    return FrameWriter(FrameKind::Control).add(message.from).addBytes(message.payload).frame();
}

HelloMessage readHello(FrameReader &reader)
{
    HelloMessage message;
    reader.read(message.protocol);
    reader.read(message.daemon);
    reader.read(message.incarnation);
    reader.read(message.domain);
    return message;
}

void readOnce(FrameReader &reader, std::optional<OnceTerms> &once)
{
    bool isPresent = false;
    reader.read(isPresent);
    if (!isPresent) {
        return;
    }
    std::string key;
    once.emplace();
    reader.readBytes(key);
    once->key = IdempotencyKey(std::move(key));
    reader.read(once->keyLifetime);
    reader.readBytes(once->ticket);
}

CallMessage readCall(FrameReader &reader)
{
    CallMessage message;
    reader.read(message.stream);
    reader.read(message.root);
    reader.read(message.service);
    reader.read(message.rule);
    reader.read(message.rank);
    reader.read(message.depth);
    reader.read(message.remaining);
    reader.read(message.granted);
    reader.readBytes(message.request.method);
    reader.readBytes(message.request.target);
    reader.read(message.request.headers);
    reader.readBytes(message.request.body);
    readOnce(reader, message.once);
    return message;
}

AnswerMessage readAnswer(FrameReader &reader)
{
    AnswerMessage message;
    reader.read(message.stream);
    reader.read(message.verdict.outcome, Outcome::Unknown);
    reader.read(message.verdict.reason, Reason::ShuttingDown);
    reader.read(message.verdict.retryAfter);
    reader.read(message.unspent);
    reader.read(message.serviceTime);
    readLoad(reader, message.load);
    reader.read(message.holder);
    reader.read(message.response.status);
    reader.read(message.response.headers);
    reader.readBytes(message.response.body);
    return message;
}

ProbeMessage readProbe(FrameReader &reader)
{
    ProbeMessage message;
    reader.read(message.stream);
    reader.read(message.service);
    return message;
}

LoadMessage readLoadMessage(FrameReader &reader)
{
    LoadMessage message;
    reader.read(message.stream);
    reader.read(message.service);
    readLoad(reader, message.load);
    return message;
}

ControlMessage readControl(FrameReader &reader)
{
    ControlMessage message;
    reader.read(message.from);
    reader.readBytes(message.payload);
    return message;
}

CancelMessage readCancel(FrameReader &reader)
{
    CancelMessage message;
    reader.read(message.stream);
    return message;
}

PeerMessage readMessage(FrameKind kind, FrameReader &reader)
{
    switch (kind) {
    case FrameKind::Hello:
        return readHello(reader);
    case FrameKind::Call:
        return readCall(reader);
    case FrameKind::Answer:
        return readAnswer(reader);
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
    const auto fields = parseCbor(frame);
    if (!fields || !fields->is_array()) {
        return makeError(ErrorCode::InvalidArgument, "the frame is not a CBOR array");
    }
    FrameReader reader(*fields);
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
