#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ivyspar::cbor {

constexpr unsigned MAJOR_NUMBER = 0;
constexpr unsigned MAJOR_BYTES = 2;
constexpr unsigned MAJOR_TEXT = 3;
constexpr unsigned MAJOR_ARRAY = 4;
constexpr unsigned MAJOR_MAP = 5;
constexpr unsigned MAJOR_TAG = 6;
constexpr unsigned MAJOR_SIMPLE = 7;
constexpr std::uint64_t SIMPLE_FALSE = 20;
constexpr std::uint64_t SIMPLE_TRUE = 21;

/// The head of an item: its major type and its argument.
struct Head
{
    unsigned major = 0;
    std::uint64_t argument = 0;
};

/// Removes a head from the front of `bytes`. False at the end of the input and for indefinite
/// lengths, which are never written.
bool takeHead(std::string_view &bytes, Head &head);
/// Removes an item with all nested ones from the front of `bytes`. False if it is truncated,
/// declares an indefinite length or one beyond the end of the input, contains a tag, or is nested
/// too deeply.
bool takeItem(std::string_view &bytes);
/// Appends a head in its shortest form.
void appendHead(std::string &bytes, const Head &head);

} // namespace ivyspar::cbor
