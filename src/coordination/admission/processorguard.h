#pragma once

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Whether a daemon that is behind takes one more request of a caller.
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

    /// `highest`: the priority of the most important rule that there is.
    bool takes(Duration lag, Priority priority, Priority highest) const
    {
        const Duration most = priority < highest ? MOST_LAG : MOST_LAG_OF_IMPORTANT;
        return !m_isOn || lag <= most;
    }

private:
    /// A tree with ten calls waits that often at daemons that are as busy as this one: with 0.1 s
    /// each, a second.
    static constexpr Duration MOST_LAG = std::chrono::milliseconds(100);
    /// Three times that: refusing the others frees the processor for these within some ticks.
    static constexpr Duration MOST_LAG_OF_IMPORTANT = std::chrono::milliseconds(300);

    bool m_isOn;
};

} // namespace ivyspar
