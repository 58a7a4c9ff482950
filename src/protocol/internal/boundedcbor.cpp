#include "protocol/internal/boundedcbor.h"

#include <vector>

namespace ivyspar {

namespace {

constexpr std::size_t MAX_DEPTH = 16;

constexpr unsigned MAJOR_BYTES = 2;
constexpr unsigned MAJOR_TEXT = 3;
constexpr unsigned MAJOR_ARRAY = 4;
constexpr unsigned MAJOR_MAP = 5;
constexpr unsigned MAJOR_TAG = 6;

/// Reads the head of an item: its major type and its argument. False at the end of the input and
/// for indefinite lengths, which our encoder never writes.
bool readHead(const std::string &bytes, std::size_t &at, unsigned &major, std::uint64_t &argument)
{
    if (at >= bytes.size()) {
        return false;
    }
    const auto first = static_cast<unsigned char>(bytes[at++]);
    constexpr unsigned ONE_BYTE_ARGUMENT = 24;
    constexpr unsigned EIGHT_BYTE_ARGUMENT = 27;
    major = first >> 5U;
    const unsigned detail = first & 0x1FU;
    if (detail < ONE_BYTE_ARGUMENT) {
        argument = detail;
        return true;
    }
    if (detail > EIGHT_BYTE_ARGUMENT) {
        return false;
    }
    const std::size_t width = std::size_t(1) << (detail - ONE_BYTE_ARGUMENT);
    if (bytes.size() - at < width) {
        return false;
    }
    argument = 0;
    for (std::size_t i = 0; i < width; ++i) {
        argument = (argument << 8U) | static_cast<unsigned char>(bytes[at++]);
    }
    return true;
}

/// The library's parser recurses into nested items: a frame of 2 MB that opens an array with each
/// byte would exhaust the stack and stop the process. This walk uses a bounded stack of its own,
/// and also refuses lengths beyond the input, so that no memory is reserved for them.
bool isBounded(const std::string &bytes)
{
    std::vector<std::uint64_t> open{ 1 };
    std::size_t at = 0;
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        unsigned major = 0;
        std::uint64_t argument = 0;
        if (!readHead(bytes, at, major, argument)) {
            return false;
        }
        const std::uint64_t rest = bytes.size() - at;
        if (major == MAJOR_BYTES || major == MAJOR_TEXT) {
            if (argument > rest) {
                return false;
            }
            at += argument;
        } else if (major == MAJOR_ARRAY || major == MAJOR_MAP) {
            if (argument > rest || open.size() >= MAX_DEPTH) {
                return false;
            }
            open.push_back(major == MAJOR_MAP ? 2 * argument : argument);
        } else if (major == MAJOR_TAG) {
            return false;
        }
    }
    return at == bytes.size();
}

} // namespace

std::optional<nlohmann::json> parseCbor(const std::string &bytes)
{
    if (!isBounded(bytes)) {
        return std::nullopt;
    }
    auto value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string toCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

} // namespace ivyspar
