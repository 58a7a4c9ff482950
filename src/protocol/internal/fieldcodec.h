#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "state/strongtype.h"

namespace ivyspar {

/// The fields of a message, or of a part of it, encoded as a CBOR array.
struct PackedFields
{
    std::string bytes;
};

/// Appends the fields of a message to a CBOR array.
///
/// Fields are encoded and decoded without an intermediate tree of values, with which each of the
/// two messages of a call took some fifty allocations and bodies were copied byte by byte.
class FieldWriter
{
public:
    FieldWriter &add(std::uint64_t value);
    FieldWriter &add(bool value);
    /// Encoded as a byte string: CBOR text must be UTF-8, which external input need not be.
    FieldWriter &add(const std::string &value);
    FieldWriter &add(const PackedFields &fields);
    template <typename T, typename Tag> FieldWriter &add(const StrongType<T, Tag> &value)
    {
        if constexpr (std::is_integral_v<T>) {
            return add(std::uint64_t(value.value()));
        } else {
            return add(value.value());
        }
    }

    /// Returns the array of all added fields and clears the writer.
    PackedFields take();

private:
    void addHead(unsigned major, std::uint64_t argument);

    std::uint64_t m_count = 0;
    std::string m_bytes;
};

/// Reads the fields of a CBOR array in order. The first one that is missing or of a wrong type or
/// range makes the reader bad; later reads then do nothing. The bytes must outlive the reader.
class FieldReader
{
public:
    /// Nothing unless `bytes` is exactly one well-formed array of limited depth.
    static std::optional<FieldReader> open(const std::string &bytes);

    bool isGood() const { return m_isGood; }
    bool isAtEnd() const { return m_remaining == 0; }

    template <typename T>
    std::enable_if_t<std::is_unsigned_v<T> && !std::is_same_v<T, bool>> read(T &value)
    {
        std::uint64_t number = 0;
        if (!readNumber(number) || number > std::numeric_limits<T>::max()) {
            m_isGood = false;
            return;
        }
        value = static_cast<T>(number);
    }

    void read(bool &value);
    void read(std::string &value);

    template <typename T, typename Tag> void read(StrongType<T, Tag> &value)
    {
        T plain{};
        read(plain);
        value = StrongType<T, Tag>(std::move(plain));
    }

    /// Numbers above that of `last` make the reader bad.
    template <typename Enum> std::enable_if_t<std::is_enum_v<Enum>> read(Enum &value, Enum last)
    {
        std::uint8_t plain = 0;
        read(plain);
        m_isGood = m_isGood && plain <= static_cast<std::uint8_t>(last);
        value = static_cast<Enum>(m_isGood ? plain : 0);
    }

    /// Reader of the next field, an array. If it is not one, both readers are bad.
    FieldReader readArray();

    /// Marks the message as malformed.
    void fail() { m_isGood = false; }

private:
    FieldReader(std::string_view items, std::uint64_t count, bool isGood);

    bool readNumber(std::uint64_t &number);
    /// Reads the head of the next field, which must be of that major type.
    bool readHead(unsigned major, std::uint64_t &argument);

    /// Bytes from the next field on.
    std::string_view m_items;
    std::uint64_t m_remaining = 0;
    bool m_isGood = true;
};

} // namespace ivyspar
