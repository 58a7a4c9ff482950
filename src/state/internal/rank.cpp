#include "state/rank.h"

#include <algorithm>

#include <xxhash.h>

namespace ivyspar {

namespace {
constexpr unsigned PRIORITY_SHIFT = 24;
constexpr unsigned DEPTH_SHIFT = 16;
constexpr std::uint32_t HASH_MASK = 0xFFFF;
/// Above the bits of the priority: the highest of the 100 priorities fits below this bit.
constexpr std::uint32_t COMMITTED_BIT = 0x80000000;
constexpr std::uint32_t PRIORITY_MASK = 0x7F;
constexpr std::uint32_t DEPTH_MASK = 0xFF;
} // namespace

Rank makeRank(Priority priority, Depth depth, RootId root)
{
    const std::uint64_t id = root.value();
    const auto hash = static_cast<std::uint32_t>(XXH3_64bits(&id, sizeof(id))) & HASH_MASK;
    return Rank((std::uint32_t(priority.value()) << PRIORITY_SHIFT)
                | (std::uint32_t(depth.value()) << DEPTH_SHIFT) | hash);
}

Rank makeCommittedRank(Priority priority, Depth depth, RootId root)
{
    return Rank(makeRank(priority, depth, root).value() | COMMITTED_BIT);
}

Rank lowestRankOf(Priority priority)
{
    return Rank(std::uint32_t(priority.value()) << PRIORITY_SHIFT);
}

Priority priorityOf(Rank rank)
{
    return Priority(static_cast<std::uint8_t>((rank.value() >> PRIORITY_SHIFT) & PRIORITY_MASK));
}

Depth depthOf(Rank rank)
{
    return Depth(static_cast<std::uint8_t>((rank.value() >> DEPTH_SHIFT) & DEPTH_MASK));
}

bool isCommitted(Rank rank)
{
    return (rank.value() & COMMITTED_BIT) != 0;
}

} // namespace ivyspar
