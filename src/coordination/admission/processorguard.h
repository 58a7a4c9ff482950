#pragma once

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Whether a daemon that is behind admits one more request of a caller.
///
/// A request that is read late has used up the time of its caller, and each one more makes those
/// behind it later. Refused at once it costs about a tenth of what it costs to serve it, so that
/// the loop catches up and callers hear when to come back.
class ProcessorGuard
{
public:
    /// Off: whatever the lag is, all are taken.
    explicit ProcessorGuard(bool isOn)
        : m_isOn(isOn)
    {
    }

    /// `highest`: the priority of the maxLag important rule that there is.
    bool admits(Duration lag, Priority priority, Priority highest) const
    {
        const Duration maxLag = priority < highest ? MAX_LAG : MAX_LAG_HIGHEST_PRIORITY;
        return !m_isOn || lag <= maxLag;
    }

private:
    /// A tree with ten calls waits that often at daemons that are as busy as this one: with 0.1 s
    /// each, a second.
    static constexpr Duration MAX_LAG = std::chrono::milliseconds(100);
    /// Three times that: refusing the others frees the processor for these within some ticks.
    static constexpr Duration MAX_LAG_HIGHEST_PRIORITY = std::chrono::milliseconds(300);

    bool m_isOn;
};

} // namespace ivyspar
