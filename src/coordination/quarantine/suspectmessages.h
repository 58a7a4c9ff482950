#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "coordination/quarantine/suspect.h"

namespace ivyspar {

/// The sender knows what this digest stands for. Whoever knows something else answers with all that
/// it knows.
struct SuspectDigest
{
    std::uint64_t digest = 0;
};

struct SuspectUpdate
{
    std::vector<SuspectRecord> records;
};

/// All that the sender knows.
struct SuspectSnapshot
{
    std::uint64_t digest = 0;
    /// The sender asks for what the receiver knows besides.
    bool isReplyRequested = false;
    std::vector<SuspectRecord> records;
};

using SuspectMessage = std::variant<SuspectDigest, SuspectUpdate, SuspectSnapshot>;

} // namespace ivyspar
