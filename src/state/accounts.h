#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/ids.h"
#include "state/result.h"

namespace ivyspar {

/// Salted hash of a client account's key.
using KeyDigest = std::array<std::uint8_t, 16>;
/// Key of all digests of one configuration; prevents precomputed digests.
using KeySalt = std::array<std::uint8_t, 16>;

/// Request limit of an account, over all daemons together.
struct AccountLimit
{
    /// Requests per second; 0 for no limit.
    double rate = 0;
    /// Requests that may arrive at the same time.
    double burst = 0;

    bool isSet() const { return rate > 0; }
};

/// A client account: callers that are identified by a key and share a priority and a limit.
struct AccountSpec
{
    AccountName name;
    /// Several may be valid at a time, so that operators can rotate keys without an interruption.
    std::vector<KeyDigest> keys;
    /// Takes precedence over the priority of the rule; see PriorityOrder.
    std::optional<Priority> priority;
    AccountLimit limit;
};

/// A new random salt.
KeySalt makeKeySalt();
/// BLAKE2b (128 bits), keyed with the salt.
KeyDigest digestOf(const AccountKey &key, const KeySalt &salt);
/// A new random key of 32 letters and digits.
AccountKey makeAccountKey();

std::string toHex(const KeyDigest &digest);
/// Nothing unless `hex` is a digest, or a salt, in hexadecimal digits.
std::optional<KeyDigest> digestFromHex(const std::string &hex);

/// Finds the account that holds a key. Keys are hashed with the secret salt before the lookup, so
/// its duration reveals nothing about existing keys.
class KeyIndex
{
public:
    KeyIndex() = default;
    /// Fails with `InvalidArgument` if two accounts hold the same key; the error names them.
    static RetVal<KeyIndex> make(const std::vector<AccountSpec> &accounts, const KeySalt &salt);

    /// Index in the vector that `make` was given; nothing if no account holds the key.
    std::optional<std::size_t> find(const AccountKey &key) const;
    /// Number of keys.
    std::size_t size() const { return m_accounts.size(); }

private:
    struct DigestHash
    {
        std::size_t operator()(const KeyDigest &digest) const;
    };

    KeySalt m_salt{};
    std::unordered_map<KeyDigest, std::size_t, DigestHash> m_accounts;
};

} // namespace ivyspar
