#include "state/rank.h"

#include <algorithm>

#include <xxhash.h>

namespace ivyspar {

namespace {
constexpr unsigned PRIORITY_SHIFT = 24;
constexpr unsigned DEPTH_SHIFT = 16;
constexpr std::uint32_t HASH_MASK = 0xFFFF;
} // namespace

Rank makeRank(Priority priority, Depth depth, RootId root)
{
    const std::uint64_t id = root.value();
    const auto hash = static_cast<std::uint32_t>(XXH3_64bits(&id, sizeof(id))) & HASH_MASK;
    return Rank((std::uint32_t(priority.value()) << PRIORITY_SHIFT)
                | (std::uint32_t(depth.value()) << DEPTH_SHIFT) | hash);
}

Rank lowestRankOf(Priority priority)
{
    return Rank(std::uint32_t(priority.value()) << PRIORITY_SHIFT);
}

Priority priorityOf(Rank rank)
{
    return Priority(static_cast<std::uint8_t>(rank.value() >> PRIORITY_SHIFT));
}

} // namespace ivyspar
