#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "coordination/quarantine/suspect.h"

namespace ivyspar {

/// `ISuspectTable::digest` of the sender. A receiver with another digest replies with its snapshot.
struct SuspectDigest
{
    std::uint64_t digest = 0;
};

/// Records that have changed.
struct SuspectUpdate
{
    std::vector<SuspectRecord> records;
};

/// All records of the sender.
struct SuspectSnapshot
{
    std::uint64_t digest = 0;
    /// The sender wants the receiver's snapshot in return, if their digests still differ.
    bool isReplyRequested = false;
    std::vector<SuspectRecord> records;
};

using SuspectMessage = std::variant<SuspectDigest, SuspectUpdate, SuspectSnapshot>;

} // namespace ivyspar
