#pragma once

#include <optional>
#include <string>
#include <vector>

#include "state/ids.h"
#include "state/result.h"

namespace ivyspar {

/// A record of the configuration stream of the log.
struct ConfigurationRecord
{
    enum class Kind {
        Change, ///< A new version, accepted if `base` is the current version.
        Snapshot, ///< A copy of the current version, appended before the log truncates its records.
        Restart, ///< Set by an operator if neither a daemon nor a record with the version is left:
                 ///< accepted if its version is larger than the current one.
    };

    Kind kind = Kind::Change;
    /// Chosen by the publisher to identify its record if the response to the append was lost. For a
    /// snapshot: the id of the change that created the version.
    std::string changeId;
    /// For a change: the version that it is based on. For a snapshot or restart: the version
    /// itself.
    ConfigurationVersion base;
    /// Digest of `inventory` and `rules`, see configurationdigest.h.
    std::uint64_t digest = 0;
    std::string inventory;
    std::string rules;
    /// For a snapshot: its version was current just before this offset, up to which its author had
    /// applied the stream. The snapshot itself may be stored at a later offset.
    LogOffset position;
};

enum class ApplyResult {
    Accepted,
    Conflict, ///< `base` is not the current version.
    Duplicate, ///< Already applied, or a snapshot that is not newer than the newest version.
    Malformed, ///< The digest does not match the text, or a snapshot has an invalid version or
               ///< position.
    Deferred, ///< Earlier records were truncated: the result follows once a snapshot is found.
};

struct AcceptedConfiguration
{
    ConfigurationVersion version;
    std::string changeId;
    std::uint64_t digest = 0;
    std::string inventory;
    std::string rules;
    /// Offset of the latest record in the log with this version; none if received from a peer.
    std::optional<LogOffset> offset;
    /// The version was current just before this offset; none if not known.
    std::optional<LogOffset> position;
};

/// Result for a change that was first reported as `ApplyResult::Deferred`.
struct DeferredResult
{
    LogOffset offset;
    std::string changeId;
    ApplyResult result = ApplyResult::Deferred;
    /// The current version after the record.
    ConfigurationVersion version;
};

/// Replicated state machine over the configuration stream: every daemon gets the same result for
/// each record, whatever its program version, as only versions and digests are compared.
///
/// There are two separate states:
///
/// - The log state is the version that was current at the offset read last. It is known if the
///   stream was read from offset 0, or from a position given by a snapshot or a peer.
/// - The newest version is the newest accepted version seen in the log or from a peer. It never
///   decreases.
///
/// Records are checked only against the log state. Not thread-safe.
class IConfigurationStateMachine
{
public:
    virtual ~IConfigurationStateMachine() = default;

    /// Applies the next record. An offset that was applied before is ignored; a gap means that the
    /// log truncated the records in between.
    virtual ApplyResult apply(LogOffset offset, const ConfigurationRecord &record) = 0;
    /// The log no longer has records before `first`.
    virtual void truncateBefore(LogOffset first) = 0;
    /// Passes over a record that this program version cannot decode. It does not change the state.
    virtual void skip(LogOffset offset) = 0;
    /// Takes over an accepted version from a peer. True if it is newer than `current()`. Version 0,
    /// or a version whose digest does not match the text, is ignored.
    virtual bool adopt(const AcceptedConfiguration &accepted) = 0;
    /// Results that `apply` and `adopt` determined for deferred records since the last call.
    virtual std::vector<DeferredResult> takeDeferredResults() = 0;

    /// The newest accepted version; null before the first one. Valid until the next change.
    virtual const AcceptedConfiguration *current() const = 0;
    /// The log state; null if not known. Its version is 0 before the first accepted change, and its
    /// position is `nextOffset()`.
    virtual const AcceptedConfiguration *logState() const = 0;
    /// The offset to read next.
    virtual LogOffset nextOffset() const = 0;
    /// A reader that starts at this offset or earlier knows the log state from here on.
    virtual LogOffset anchor() const = 0;
};

} // namespace ivyspar
