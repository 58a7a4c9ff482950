#pragma once

#include <optional>
#include <string>

#include "state/ids.h"
#include "state/result.h"

namespace ivyspar {

/// A record of the configuration stream.
struct ConfigurationRecord
{
    enum class Kind {
        Change, ///< A new version, accepted if `base` is the current version.
        Snapshot, ///< The current version again, before the log forgets it.
    };

    Kind kind = Kind::Change;
    /// Chosen by the publisher, to find its record again when the append's answer was lost.
    std::string changeId;
    /// For a change: the version that it is based on. For a snapshot: the version itself.
    ConfigurationVersion base;
    /// Digest of `inventory` and `rules`.
    std::uint64_t digest = 0;
    std::string inventory;
    std::string rules;
};

enum class FoldVerdict {
    Accepted,
    Conflict, ///< `base` is not the current version.
    Duplicate, ///< A snapshot of, or an older version than, what is held.
    Malformed, ///< The digest does not fit the text.
    Unjudged, ///< The stream starts after records that were forgotten: wait for a snapshot.
};

struct AcceptedConfiguration
{
    ConfigurationVersion version;
    std::string changeId;
    std::uint64_t digest = 0;
    std::string inventory;
    std::string rules;
    /// Offset of the latest record in the log that holds this version; none if learned from a peer.
    std::optional<LogOffset> offset;
};

/// Folds the configuration stream: every daemon comes to the same verdict for each record,
/// whatever the age of its program, as only versions and digests are compared.
class IConfigurationFold
{
public:
    virtual ~IConfigurationFold() = default;

    virtual FoldVerdict apply(LogOffset offset, const ConfigurationRecord &record) = 0;
    /// A peer holds this accepted version. True if it is newer than what is held.
    virtual bool adopt(const AcceptedConfiguration &accepted) = 0;
    /// Nothing before the first accepted version.
    virtual const AcceptedConfiguration *current() const = 0;
};

} // namespace ivyspar
