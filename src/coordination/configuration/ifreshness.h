#pragma once

#include <algorithm>
#include <memory>
#include <optional>

#include "state/irandom.h"
#include "state/time.h"

namespace ivyspar {

/// The waits on the way of a change, derived from the time in which it has to be in force.
struct FreshnessOptions
{
    /// From the log's acknowledgement of a change until it is in force at every daemon.
    Duration applyWithin = std::chrono::seconds(2);
    /// After this time a read that waits for nothing is given up.
    Duration readTimeout = std::chrono::milliseconds(700);
    /// For a second read, the way between daemons with a message lost on it, and a process that
    /// waits for its turn.
    Duration margin = std::chrono::milliseconds(400);
    /// From the start of a read that failed to the next one; it doubles up to the longest one.
    Duration firstRetryInterval = std::chrono::milliseconds(100);
    Duration maxRetryInterval = std::chrono::seconds(1);

    /// A daemon that knows the log's state of no later than this ago has to read it: the change may
    /// have come right after, and the read may meet a connection that went silent.
    Duration maxAge() const
    {
        const Duration shortest = applyWithin / 4;
        return std::max(shortest, applyWithin - readTimeout - margin);
    }
};

/// How old a daemon's knowledge of the log is, and when the daemon reads the log for itself. Any
/// daemon's read serves all that hear of it in time, so that a few reads a second keep a whole
/// deployment current, and each daemon's own read bounds the age when nobody tells it.
/// Plain object.
class IFreshness
{
public:
    virtual ~IFreshness() = default;

    /// The log held nothing newer than what is in force here at `asOf`. Returns whether that is
    /// later than what was known.
    virtual bool confirm(TimePoint now, TimePoint asOf, IRandom &random) = 0;
    /// There is something newer than what is in force here.
    virtual void expire() = 0;
    /// A read that began then got no answer, or was turned away.
    virtual void onReadFailed(TimePoint startedAt, IRandom &random) = 0;
    /// When to read the log next. Drawn anew with each confirmation, so that daemons that know the
    /// same do not read in the same moment.
    virtual TimePoint nextRead() const = 0;
    /// Nothing while nothing is known.
    virtual std::optional<Duration> age(TimePoint now) const = 0;
    /// Older than it may become: neither the log nor a peer told anything in time.
    virtual bool isStale(TimePoint now) const = 0;
};

std::unique_ptr<IFreshness> makeFreshness(const FreshnessOptions &options);

} // namespace ivyspar
