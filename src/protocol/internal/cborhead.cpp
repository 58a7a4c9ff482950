#include "protocol/internal/cborhead.h"

#include <array>
#include <cstddef>

namespace ivyspar::cbor {

namespace {

constexpr std::size_t MAX_DEPTH = 16;
constexpr unsigned MAJOR_SHIFT = 5;
constexpr unsigned DETAIL_MASK = 0x1F;
constexpr unsigned ONE_BYTE_ARGUMENT = 24;
constexpr unsigned EIGHT_BYTE_ARGUMENT = 27;
constexpr unsigned BITS_PER_BYTE = 8;

std::uint64_t takeNumber(std::string_view &bytes, std::size_t width)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < width; ++i) {
        number = (number << BITS_PER_BYTE) | static_cast<unsigned char>(bytes[i]);
    }
    bytes.remove_prefix(width);
    return number;
}

/// Removes the bytes that follow a head and are no items. Sets `items` to the number of items that
/// are nested in it. False if the length exceeds the input, or for a tag.
bool takeContent(std::string_view &bytes, const Head &head, std::uint64_t &items)
{
    items = 0;
    switch (head.major) {
    case MAJOR_BYTES:
    case MAJOR_TEXT:
        if (head.argument > bytes.size()) {
            return false;
        }
        bytes.remove_prefix(head.argument);
        return true;
    case MAJOR_ARRAY:
    case MAJOR_MAP:
        if (head.argument > bytes.size()) {
            return false;
        }
        items = head.major == MAJOR_MAP ? 2 * head.argument : head.argument;
        return true;
    case MAJOR_TAG:
        return false;
    default:
        return true;
    }
}

} // namespace

bool takeHead(std::string_view &bytes, Head &head)
{
    if (bytes.empty()) {
        return false;
    }
    const auto first = static_cast<unsigned char>(bytes.front());
    const unsigned detail = first & DETAIL_MASK;
    head.major = first >> MAJOR_SHIFT;
    bytes.remove_prefix(1);
    if (detail < ONE_BYTE_ARGUMENT) {
        head.argument = detail;
        return true;
    }
    if (detail > EIGHT_BYTE_ARGUMENT) {
        return false;
    }
    const std::size_t width = std::size_t(1) << (detail - ONE_BYTE_ARGUMENT);
    if (bytes.size() < width) {
        return false;
    }
    head.argument = takeNumber(bytes, width);
    return true;
}

/// Not recursive: a frame of 2 MB that opens an array with each byte would exhaust the stack and
/// crash the process. Lengths beyond the input are rejected, so that no memory is reserved for
/// them.
bool takeItem(std::string_view &bytes)
{
    std::array<std::uint64_t, MAX_DEPTH> open{ 1 };
    std::size_t depth = 1;
    while (depth > 0) {
        if (open[depth - 1] == 0) {
            --depth;
            continue;
        }
        --open[depth - 1];
        Head head;
        std::uint64_t items = 0;
        if (!takeHead(bytes, head) || !takeContent(bytes, head, items)) {
            return false;
        }
        if (head.major != MAJOR_ARRAY && head.major != MAJOR_MAP) {
            continue;
        }
        if (depth >= MAX_DEPTH) {
            return false;
        }
        open[depth++] = items;
    }
    return true;
}

void appendHead(std::string &bytes, const Head &head)
{
    const auto append = [&bytes, &head](unsigned detail) {
        bytes.push_back(static_cast<char>((head.major << MAJOR_SHIFT) | detail));
    };
    if (head.argument < ONE_BYTE_ARGUMENT) {
        append(static_cast<unsigned>(head.argument));
        return;
    }
    unsigned detail = ONE_BYTE_ARGUMENT;
    std::size_t width = 1;
    while (width < sizeof head.argument && head.argument >> (BITS_PER_BYTE * width) != 0) {
        width *= 2;
        ++detail;
    }
    append(detail);
    for (std::size_t i = width; i > 0; --i) {
        bytes.push_back(static_cast<char>(head.argument >> (BITS_PER_BYTE * (i - 1))));
    }
}

} // namespace ivyspar::cbor
