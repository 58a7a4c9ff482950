#include "state/fingerprint.h"

#include <array>
#include <cstdint>

#include <sodium.h>

namespace ivyspar {

namespace {

constexpr std::size_t HASH_BYTES = 16;
using Hash = std::array<unsigned char, HASH_BYTES>;

const unsigned char *bytesOf(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

/// The length prefix makes the boundaries between texts part of the hash.
void addText(crypto_generichash_state &state, const std::string &text)
{
    std::array<unsigned char, sizeof(std::uint64_t)> length{};
    std::uint64_t left = text.size();
    for (unsigned char &byte : length) {
        byte = static_cast<unsigned char>(left);
        left >>= 8U;
    }
    crypto_generichash_update(&state, length.data(), length.size());
    crypto_generichash_update(&state, bytesOf(text), text.size());
}

std::string toHex(const Hash &hash)
{
    std::array<char, 2 * HASH_BYTES + 1> text{};
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    return text.data();
}

} // namespace

Fingerprint fingerprintOf(const AccountName &account, const HttpRequest &request)
{
    // Selects the fastest implementation for this processor.
    static const int IS_READY = sodium_init();
    (void)IS_READY;
    const std::string *host = findHeader(request.headers, "Host");
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, HASH_BYTES);
    addText(state, host != nullptr ? hostNameOf(*host) : std::string());
    addText(state, account.value());
    addText(state, request.method);
    addText(state, request.target);
    addText(state, request.body);
    Hash hash{};
    crypto_generichash_final(&state, hash.data(), hash.size());
    return Fingerprint(toHex(hash));
}

} // namespace ivyspar
