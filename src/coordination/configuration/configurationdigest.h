#pragma once

#include <cstdint>
#include <string>

namespace ivyspar {

/// XXH3 (64 bits) over both texts and the length of the first, so that moving text from one file
/// to the other changes the digest. Detects corruption, not forgery.
std::uint64_t configurationDigest(const std::string &inventory, const std::string &rules);

} // namespace ivyspar
