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

struct SuspectNews
{
    std::vector<SuspectRecord> records;
};

/// All that the sender knows.
struct SuspectState
{
    std::uint64_t digest = 0;
    /// The sender asks for what the receiver knows besides.
    bool isAnswerWanted = false;
    std::vector<SuspectRecord> records;
};

using SuspectMessage = std::variant<SuspectDigest, SuspectNews, SuspectState>;

} // namespace ivyspar
