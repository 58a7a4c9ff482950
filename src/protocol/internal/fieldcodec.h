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

/// The fields of a message, or of a part of one, as a CBOR array.
struct PackedFields
{
    std::string bytes;
};

/// Appends the fields of a message to a CBOR array.
///
/// Written and read without a tree of values in between: with one, each of the two messages of a
/// call took some fifty allocations, and its bodies were copied byte by byte.
class FieldWriter
{
public:
    FieldWriter &add(std::uint64_t value);
    FieldWriter &add(bool value);
    /// As bytes: CBOR text must be UTF-8, and what comes from outside need not be.
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

    /// The array with all that was added.
    PackedFields take();

private:
    void addHead(unsigned major, std::uint64_t argument);

    std::uint64_t m_count = 0;
    std::string m_bytes;
};

/// Takes fields from a CBOR array in order. The first one that is missing or of a wrong type or
/// range makes the whole message bad; the reads after it do nothing. The bytes must outlive it.
class FieldReader
{
public:
    /// Nothing if `bytes` is not one array, well formed and of bounded depth.
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

    template <typename Enum> std::enable_if_t<std::is_enum_v<Enum>> read(Enum &value, Enum last)
    {
        std::uint8_t plain = 0;
        read(plain);
        m_isGood = m_isGood && plain <= static_cast<std::uint8_t>(last);
        value = static_cast<Enum>(m_isGood ? plain : 0);
    }

    /// The next field, an array. If it is none, the message is bad, and so is what is returned.
    FieldReader readArray();

    /// A part of the message was bad.
    void fail() { m_isGood = false; }

private:
    FieldReader(std::string_view items, std::uint64_t count, bool isGood);

    bool readNumber(std::uint64_t &number);
    /// Reads the head of the next field if it is of that major type.
    bool readHead(unsigned major, std::uint64_t &argument);

    /// What is left of the array's items.
    std::string_view m_items;
    std::uint64_t m_remaining = 0;
    bool m_isGood = true;
};

} // namespace ivyspar
