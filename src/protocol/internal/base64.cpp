#include "protocol/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace ivyspar {

namespace base64 = boost::beast::detail::base64;

namespace {
constexpr std::size_t GROUP_CHARACTERS = 4;
} // namespace

std::string toBase64(const std::string &bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    if (text.size() % GROUP_CHARACTERS != 0) {
        return std::nullopt;
    }
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
    // Only padding may be left unread.
    constexpr char PADDING[] = "==";
    if (text.size() - read > sizeof(PADDING) - 1
        || text.compare(read, std::string::npos, PADDING, text.size() - read) != 0) {
        return std::nullopt;
    }
    bytes.resize(written);
    return bytes;
}

} // namespace ivyspar
