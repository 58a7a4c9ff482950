#include "coordination/configuration/configurationdigest.h"

#include <array>

#include <xxhash.h>

namespace ivyspar {

std::uint64_t configurationDigest(const std::string &inventory, const std::string &rules)
{
    // Little-endian encoding, independent of the byte order of the host.
    std::array<unsigned char, sizeof(std::uint64_t)> length{};
    std::uint64_t rest = inventory.size();
    for (unsigned char &byte : length) {
        byte = static_cast<unsigned char>(rest & 0xff);
        rest >>= 8;
    }
    const XXH64_hash_t prefix = XXH3_64bits(length.data(), length.size());
    const XXH64_hash_t first = XXH3_64bits_withSeed(inventory.data(), inventory.size(), prefix);
    return XXH3_64bits_withSeed(rules.data(), rules.size(), first);
}

} // namespace ivyspar
