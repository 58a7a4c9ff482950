#pragma once

#include <chrono>

namespace ivyspar {

using Duration = std::chrono::microseconds;

/// Time of the host's monotonic clock. Decisions receive it as an argument and never read a clock.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    // NOLINTNEXTLINE(readability-identifier-naming): required by std::chrono.
    static constexpr bool is_steady = true;
};
using TimePoint = MonotonicClock::time_point;

inline double toMillis(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace ivyspar
