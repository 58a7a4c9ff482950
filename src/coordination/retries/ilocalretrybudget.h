#pragma once

#include <memory>

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Decides how many of the calls that a server turned away, without having begun them, are sent to
/// it once more from its own host. Plain object.
///
/// A server that sheds at random fails a request with n calls there with a chance of 1 - (1 - p)ⁿ,
/// after all services above it have worked. Sent again at once, a call that was not begun costs a
/// message on the host. All that arrives at the server passes this place, so the bound on repeats
/// is kept exactly here and needs no share for each daemon.
class ILocalRetryBudget
{
public:
    virtual ~ILocalRetryBudget() = default;

    /// A call is sent to the server for the first time from here. `isRepeat`: an entry sent it
    /// elsewhere before, or its request is a repeat.
    virtual void onArrival(TimePoint now, bool isRepeat) = 0;
    /// Whether a call of this priority may be sent once more; counts it if so.
    virtual bool tryTake(TimePoint now, Priority priority) = 0;
};

struct LocalRetryBudgetOptions
{
    /// Off: nothing is sent once more from here.
    bool isEnabled = true;
    /// Repeats for each first arrival of the window: 0 allows none.
    double ratio = 0;
    /// Time over which repeats are counted.
    Duration window = std::chrono::seconds(10);
    /// Of the allowed repeats, the share that is used: windows of other daemons begin elsewhere.
    double usedRatio = 0.9;
    /// Repeats that more important calls asked for lately are kept for this time to come.
    Duration reserveTime = std::chrono::seconds(5);
};

std::unique_ptr<ILocalRetryBudget> makeLocalRetryBudget(const LocalRetryBudgetOptions &options);

} // namespace ivyspar
