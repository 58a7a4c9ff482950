#pragma once

#include <memory>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Limits how many of the calls that a server refused before starting them are sent to it again
/// from its own host. Plain object.
///
/// If a server sheds calls at random with probability p, a request with n calls to it fails with
/// probability 1 - (1 - p)ⁿ, after all services above it have done their work. Retrying a call that
/// was not started costs one message on the host. All calls to the server pass here, so the limit
/// on repeats is exact and needs no share for each daemon.
class ILocalRetryBudget
{
public:
    virtual ~ILocalRetryBudget() = default;

    /// Records a call that is sent to the server for the first time from this host. `isRepeat`: an
    /// entry has sent it elsewhere before, or its request is a repeat.
    virtual void onArrival(TimePoint now, bool isRepeat) = 0;
    /// Returns whether a call of this priority may be sent again, and counts the repeat if so.
    virtual bool tryTake(TimePoint now, Priority priority) = 0;
};

struct LocalRetryBudgetOptions
{
    /// If false, no call is sent again from this host.
    bool isEnabled = true;
    /// Repeats per first arrival in the window; 0 allows none.
    double ratio = 0;
    /// Time over which arrivals and repeats are counted.
    Duration window = std::chrono::seconds(10);
    /// Share of the allowed repeats that is used, as the windows of other daemons start at other
    /// times.
    double usedRatio = 0.9;
    /// Repeats are reserved for calls of higher priority, at their recent rate, for this time
    /// ahead.
    Duration reserveTime = std::chrono::seconds(5);
};

std::unique_ptr<ILocalRetryBudget> makeLocalRetryBudget(const LocalRetryBudgetOptions &options);

} // namespace ivyspar
