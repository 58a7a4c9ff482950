#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace ivyspar {

/// A value that does not convert to, or compare with, values of another meaning.
/// `Tag` is an incomplete type that only distinguishes the types.
template <typename T, typename Tag> class StrongType
{
public:
    using ValueType = T;

    constexpr StrongType() = default;
    constexpr explicit StrongType(T value)
        : m_value(std::move(value))
    {
    }

    constexpr const T &value() const { return m_value; }

    friend constexpr bool operator==(const StrongType &a, const StrongType &b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(const StrongType &a, const StrongType &b) { return !(a == b); }
    friend constexpr bool operator<(const StrongType &a, const StrongType &b)
    {
        return a.m_value < b.m_value;
    }
    friend constexpr bool operator>(const StrongType &a, const StrongType &b) { return b < a; }
    friend constexpr bool operator<=(const StrongType &a, const StrongType &b) { return !(b < a); }
    friend constexpr bool operator>=(const StrongType &a, const StrongType &b) { return !(a < b); }

private:
    T m_value{};
};

} // namespace ivyspar

template <typename T, typename Tag> struct std::hash<ivyspar::StrongType<T, Tag>>
{
    std::size_t operator()(const ivyspar::StrongType<T, Tag> &id) const
    {
        return std::hash<T>()(id.value());
    }
};
