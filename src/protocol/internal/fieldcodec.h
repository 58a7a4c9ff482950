#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "state/strongtype.h"

namespace ivyspar {

/// Appends the fields of a message to an array.
class FieldWriter
{
public:
    FieldWriter &add(std::uint64_t value) { return push(value); }
    FieldWriter &add(bool value) { return push(value); }
    /// As bytes: CBOR text must be UTF-8, and what comes from outside need not be.
    FieldWriter &add(const std::string &value)
    {
        return push(nlohmann::json::binary({ value.begin(), value.end() }));
    }
    FieldWriter &add(nlohmann::json value) { return push(std::move(value)); }
    template <typename T, typename Tag> FieldWriter &add(const StrongType<T, Tag> &value)
    {
        if constexpr (std::is_integral_v<T>) {
            return add(std::uint64_t(value.value()));
        } else {
            return add(value.value());
        }
    }

    nlohmann::json take() { return std::move(m_fields); }

private:
    template <typename T> FieldWriter &push(T &&value)
    {
        m_fields.push_back(std::forward<T>(value));
        return *this;
    }

    nlohmann::json m_fields = nlohmann::json::array();
};

/// Takes fields from an array in order. The first one that is missing or of a wrong type or range
/// makes the whole message bad; the reads after it do nothing.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &fields)
        : m_fields(fields)
        , m_isGood(fields.is_array())
    {
    }

    bool isGood() const { return m_isGood; }
    bool isAtEnd() const { return m_at >= m_fields.size(); }

    template <typename T>
    std::enable_if_t<std::is_unsigned_v<T> && !std::is_same_v<T, bool>> read(T &value)
    {
        const nlohmann::json *field = next();
        if (!field || !field->is_number_unsigned()
            || field->get<std::uint64_t>() > std::numeric_limits<T>::max()) {
            m_isGood = false;
            return;
        }
        value = static_cast<T>(field->get<std::uint64_t>());
    }

    void read(bool &value)
    {
        const nlohmann::json *field = next();
        if (!field || !field->is_boolean()) {
            m_isGood = false;
            return;
        }
        value = field->get<bool>();
    }

    void read(std::string &value)
    {
        const nlohmann::json *field = next();
        if (!field || !field->is_binary()) {
            m_isGood = false;
            return;
        }
        const auto &bytes = field->get_binary();
        value.assign(bytes.begin(), bytes.end());
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

    /// The next field, an array; nullptr, and the message is bad, if it is none.
    const nlohmann::json *readArray()
    {
        const nlohmann::json *field = next();
        m_isGood = field && field->is_array();
        return m_isGood ? field : nullptr;
    }

    /// A part of the message was bad.
    void fail() { m_isGood = false; }

private:
    const nlohmann::json *next()
    {
        if (!m_isGood || isAtEnd()) {
            return nullptr;
        }
        return &m_fields[m_at++];
    }

    const nlohmann::json &m_fields;
    std::size_t m_at = 0;
    bool m_isGood = true;
};

} // namespace ivyspar
