#pragma once

#include <atomic>
#include <optional>

#include "state/time.h"

namespace ivyspar {

/// When the configuration in force was last known to be the newest. Thread-safe for one writer and
/// any number of readers.
class ConfirmationTime
{
public:
    /// Times before the current one are ignored.
    void advance(TimePoint asOf)
    {
        const auto since = asOf.time_since_epoch().count();
        if (since > m_asOf.load(std::memory_order_relaxed)) {
            m_asOf.store(since, std::memory_order_relaxed);
        }
    }
    /// Time since the last confirmation; nothing before the first one.
    std::optional<Duration> age(TimePoint now) const
    {
        const auto asOf = m_asOf.load(std::memory_order_relaxed);
        if (asOf == 0) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<Duration>(now - TimePoint(Duration(asOf)));
    }

private:
    std::atomic<Duration::rep> m_asOf{ 0 };
};

} // namespace ivyspar
