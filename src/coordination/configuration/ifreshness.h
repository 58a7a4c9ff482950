#pragma once

#include <algorithm>
#include <memory>
#include <optional>

#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

/// Time limits for the propagation of a change, derived from the deadline for applying it.
struct FreshnessOptions
{
    /// Deadline from the log's acknowledgement of a change until it is in force at every daemon.
    Duration applyWithin = std::chrono::seconds(2);
    /// Timeout of a read without long polling.
    Duration readTimeout = std::chrono::milliseconds(700);
    /// Allowance for a second read, propagation between daemons with one lost message, and
    /// scheduling delays of the process.
    Duration margin = std::chrono::milliseconds(400);
    /// Unit of the backoff, from the start of a failed read to the start of the next. The first
    /// retry is immediate; the following ones wait for up to twice, four times, ... this interval,
    /// up to the maximum.
    Duration baseRetryInterval = std::chrono::milliseconds(100);
    Duration maxRetryInterval = std::chrono::seconds(1);

    /// Maximum age of the last confirmation, after which the daemon has to read the log: a change
    /// may have followed the confirmation immediately, and the read may hit a dead connection. At
    /// least a quarter of `applyWithin`.
    Duration maxAge() const
    {
        const Duration shortest = applyWithin / 4;
        return std::max(shortest, applyWithin - readTimeout - margin);
    }
};

/// Tracks the age of a daemon's knowledge of the log and schedules its own reads. A read of any
/// daemon confirms the state for all that hear of it in time, so a few reads per second keep a
/// whole deployment current. Each daemon's own read bounds the age if no peer confirms it. Does no
/// I/O and is not thread-safe.
class IFreshness
{
public:
    virtual ~IFreshness() = default;

    /// At `asOf` the log contained nothing newer than what is in force here. Returns false, and
    /// changes nothing, if a confirmation at least as recent is known. A time after `now` counts as
    /// `now`.
    virtual bool confirm(TimePoint now, TimePoint asOf, IRandom &random) = 0;
    /// Something newer than what is in force here exists. A read is due at once, or at the end of
    /// the current backoff.
    virtual void expire() = 0;
    /// A read that started at `startedAt` got no answer or was refused.
    virtual void onReadFailed(TimePoint startedAt, IRandom &random) = 0;
    /// Time of the next read. Drawn at random with each confirmation, so that daemons with the same
    /// knowledge do not read at the same time.
    virtual TimePoint nextRead() const = 0;
    /// Time since the last confirmation; none without one.
    virtual std::optional<Duration> age(TimePoint now) const = 0;
    /// Whether the last confirmation, by the log or a peer, is `FreshnessOptions::maxAge` old or
    /// older, or there is none.
    virtual bool isStale(TimePoint now) const = 0;
};

std::unique_ptr<IFreshness> makeFreshness(const FreshnessOptions &options);

} // namespace ivyspar
