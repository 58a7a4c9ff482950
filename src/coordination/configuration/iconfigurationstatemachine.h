#pragma once

#include <optional>
#include <string>
#include <vector>

#include "state/ids.h"
#include "state/result.h"

namespace ivyspar {

/// A record of the configuration stream.
struct ConfigurationRecord
{
    enum class Kind {
        Change, ///< A new version, accepted if `base` is the current version.
        Snapshot, ///< The current version again, before the log forgets it.
        Restart, ///< An operator's new beginning, when no daemon and no record was left to tell the
                 ///< version: accepted if its version is larger than the current one.
    };

    Kind kind = Kind::Change;
    /// Chosen by the publisher, to find its record again when the append's answer was lost. In a
    /// snapshot: the id of the change that made the version.
    std::string changeId;
    /// For a change: the version that it is based on. For a snapshot or restart: the version
    /// itself.
    ConfigurationVersion base;
    /// Digest of `inventory` and `rules`, see configurationdigest.h.
    std::uint64_t digest = 0;
    std::string inventory;
    std::string rules;
    /// For a snapshot: its version was the current one just before this offset. Its author had
    /// judged the stream up to here; the snapshot itself may come to lie later.
    LogOffset position;
};

enum class ApplyResult {
    Accepted,
    Conflict, ///< `base` is not the current version.
    Duplicate, ///< A snapshot of, or an older version than, what is held.
    Malformed, ///< The digest does not fit the text.
    Deferred, ///< The stream starts after records that were forgotten: wait for a snapshot.
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
    /// The version was the current one just before this offset; none if its holder does not know.
    std::optional<LogOffset> position;
};

/// The verdict of a change that was found only after the record had been read.
struct DeferredResult
{
    LogOffset offset;
    std::string changeId;
    ApplyResult result = ApplyResult::Deferred;
    /// The version in force after the record.
    ConfigurationVersion version;
};

/// Folds the configuration stream: every daemon comes to the same verdict for each record,
/// whatever the age of its program, as only versions and digests are compared.
///
/// Two things are kept apart. What the log says: the version that was current at the offset read
/// last, known when the stream was read from offset 0, or from a position that a snapshot or a
/// peer vouches for. And what is held: the newest accepted version that was seen anywhere, which
/// never goes back. Only the first judges records.
class IConfigurationStateMachine
{
public:
    virtual ~IConfigurationStateMachine() = default;

    /// Records are given in order of offset. An offset that was given before changes nothing; a
    /// jump forward means that records were forgotten.
    virtual ApplyResult apply(LogOffset offset, const ConfigurationRecord &record) = 0;
    /// The log keeps no record before `first`.
    virtual void forgetBefore(LogOffset first) = 0;
    /// There is a record at `offset` that no program of this age can read. It changes nothing.
    virtual void skip(LogOffset offset) = 0;
    /// A peer holds this accepted version. True if it is newer than what is held.
    virtual bool adopt(const AcceptedConfiguration &accepted) = 0;
    /// Verdicts that `apply` and `adopt` found for earlier, unjudged records since the last call.
    virtual std::vector<DeferredResult> takeDeferredResults() = 0;

    /// The newest accepted version. Nothing before the first one.
    virtual const AcceptedConfiguration *current() const = 0;
    /// What the log says, while records can be judged; else nothing. Its version is 0 before the
    /// first accepted change, and its position is `nextOffset()`.
    virtual const AcceptedConfiguration *logState() const = 0;
    /// The offset to read next.
    virtual LogOffset nextOffset() const = 0;
    /// A reader that starts here, or earlier, can judge all records from here on.
    virtual LogOffset anchor() const = 0;
};

} // namespace ivyspar
