#include "protocol/internal/fieldcodec.h"

#include "protocol/internal/cborhead.h"

namespace ivyspar {

namespace {

/// Reserved for the fields of a typical message without its body.
constexpr std::size_t TYPICAL_MESSAGE_BYTES = 512;

} // namespace

void FieldWriter::addHead(unsigned major, std::uint64_t argument)
{
    if (m_count++ == 0) {
        m_bytes.reserve(TYPICAL_MESSAGE_BYTES);
    }
    cbor::appendHead(m_bytes, { major, argument });
}

FieldWriter &FieldWriter::add(std::uint64_t value)
{
    addHead(cbor::MAJOR_NUMBER, value);
    return *this;
}

FieldWriter &FieldWriter::add(bool value)
{
    addHead(cbor::MAJOR_SIMPLE, value ? cbor::SIMPLE_TRUE : cbor::SIMPLE_FALSE);
    return *this;
}

FieldWriter &FieldWriter::add(const std::string &value)
{
    addHead(cbor::MAJOR_BYTES, value.size());
    m_bytes += value;
    return *this;
}

FieldWriter &FieldWriter::add(const PackedFields &fields)
{
    ++m_count;
    m_bytes += fields.bytes;
    return *this;
}

PackedFields FieldWriter::take()
{
    PackedFields fields;
    fields.bytes.reserve(m_bytes.size() + sizeof m_count + 1);
    cbor::appendHead(fields.bytes, { cbor::MAJOR_ARRAY, m_count });
    fields.bytes += m_bytes;
    m_bytes.clear();
    m_count = 0;
    return fields;
}

FieldReader::FieldReader(std::string_view items, std::uint64_t count, bool isGood)
    : m_items(items)
    , m_remaining(count)
    , m_isGood(isGood)
{
}

std::optional<FieldReader> FieldReader::open(const std::string &bytes)
{
    std::string_view rest(bytes);
    if (!cbor::takeItem(rest) || !rest.empty()) {
        return std::nullopt;
    }
    std::string_view items(bytes);
    cbor::Head head;
    cbor::takeHead(items, head);
    if (head.major != cbor::MAJOR_ARRAY) {
        return std::nullopt;
    }
    return FieldReader(items, head.argument, true);
}

bool FieldReader::readHead(unsigned major, std::uint64_t &argument)
{
    cbor::Head head;
    if (!m_isGood || m_remaining == 0 || !cbor::takeHead(m_items, head) || head.major != major) {
        m_isGood = false;
        return false;
    }
    --m_remaining;
    argument = head.argument;
    return true;
}

bool FieldReader::readNumber(std::uint64_t &number)
{
    return readHead(cbor::MAJOR_NUMBER, number);
}

void FieldReader::read(bool &value)
{
    std::uint64_t simple = 0;
    if (!readHead(cbor::MAJOR_SIMPLE, simple)) {
        return;
    }
    m_isGood = simple == cbor::SIMPLE_TRUE || simple == cbor::SIMPLE_FALSE;
    value = simple == cbor::SIMPLE_TRUE;
}

void FieldReader::read(std::string &value)
{
    std::uint64_t size = 0;
    if (!readHead(cbor::MAJOR_BYTES, size)) {
        return;
    }
    value.assign(m_items.substr(0, size));
    m_items.remove_prefix(size);
}

FieldReader FieldReader::readArray()
{
    const std::string_view whole = m_items;
    std::uint64_t count = 0;
    if (!readHead(cbor::MAJOR_ARRAY, count)) {
        return FieldReader({}, 0, false);
    }
    FieldReader items(m_items, count, true);
    m_items = whole;
    cbor::takeItem(m_items);
    return items;
}

} // namespace ivyspar
