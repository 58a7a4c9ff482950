#pragma once

#include "state/ids.h"
#include "state/time.h"

namespace ivyspar {

/// Decides whether a daemon whose event loop lags admits another request of a caller.
///
/// A request that is read late has used up part of its caller's deadline, and each further request
/// delays those behind it. Refusing it immediately costs about a tenth of serving it, so the event
/// loop catches up and callers learn when to retry.
class ProcessorGuard
{
public:
    /// If not on, requests are admitted at any lag.
    explicit ProcessorGuard(bool isOn)
        : m_isOn(isOn)
    {
    }

    /// `lag`: how late the request was read. `highest`: the highest priority of any rule.
    bool admits(Duration lag, Priority priority, Priority highest) const
    {
        const Duration maxLag = priority < highest ? MAX_LAG : MAX_LAG_HIGHEST_PRIORITY;
        return !m_isOn || lag <= maxLag;
    }

private:
    /// A call tree with ten calls incurs this lag at each daemon that is as busy as this one: 0.1 s
    /// each add up to 1 s.
    static constexpr Duration MAX_LAG = std::chrono::milliseconds(100);
    /// Refusing the other requests frees the processor for these within a few iterations of the
    /// event loop.
    static constexpr Duration MAX_LAG_HIGHEST_PRIORITY = std::chrono::milliseconds(300);

    bool m_isOn;
};

} // namespace ivyspar
