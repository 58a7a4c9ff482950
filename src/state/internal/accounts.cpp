#include "state/accounts.h"

#include <cstring>

#include <sodium.h>

namespace ivyspar {

namespace {

void initializeSodium()
{
    // Selects the fastest implementation for this processor.
    static const int IS_READY = sodium_init();
    (void)IS_READY;
}

} // namespace

KeySalt makeKeySalt()
{
    initializeSodium();
    KeySalt salt{};
    randombytes_buf(salt.data(), salt.size());
    return salt;
}

KeyDigest digestOf(const AccountKey &key, const KeySalt &salt)
{
    initializeSodium();
    KeyDigest digest{};
    const std::string &text = key.value();
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(text.data()), text.size(),
                       salt.data(), salt.size());
    return digest;
}

AccountKey makeAccountKey()
{
    initializeSodium();
    constexpr char KEY_ALPHABET[] = "abcdefghijkmnpqrstuvwxyz23456789";
    constexpr std::size_t KEY_LENGTH = 32;
    std::string text;
    for (std::size_t i = 0; i < KEY_LENGTH; ++i) {
        text += KEY_ALPHABET[randombytes_uniform(sizeof(KEY_ALPHABET) - 1)];
    }
    return AccountKey(text);
}

std::string toHex(const KeyDigest &digest)
{
    std::array<char, 2 * sizeof(KeyDigest) + 1> text{};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

std::optional<KeyDigest> digestFromHex(const std::string &hex)
{
    KeyDigest digest{};
    std::size_t size = 0;
    const int result = sodium_hex2bin(digest.data(), digest.size(), hex.data(), hex.size(), nullptr,
                                      &size, nullptr);
    return result == 0 && size == digest.size() ? std::optional(digest) : std::nullopt;
}

RetVal<KeyIndex> KeyIndex::make(const std::vector<AccountSpec> &accounts, const KeySalt &salt)
{
    KeyIndex index;
    index.m_salt = salt;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        for (const KeyDigest &digest : accounts[i].keys) {
            const auto [entry, isNew] = index.m_accounts.emplace(digest, i);
            if (!isNew && entry->second != i) {
                return makeError(ErrorCode::InvalidArgument,
                                 "accounts " + accounts[entry->second].name.value() + " and "
                                     + accounts[i].name.value() + " hold the same key");
            }
        }
    }
    return index;
}

std::optional<std::size_t> KeyIndex::find(const AccountKey &key) const
{
    const auto found = m_accounts.find(digestOf(key, m_salt));
    return found == m_accounts.end() ? std::nullopt : std::optional(found->second);
}

/// Digests are evenly distributed, so a part of one serves as the hash.
std::size_t KeyIndex::DigestHash::operator()(const KeyDigest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

} // namespace ivyspar
