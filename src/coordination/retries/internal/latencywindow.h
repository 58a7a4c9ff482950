#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "state/time.h"

namespace ivyspar {

/// Quantiles of the latencies of the last one to two windows, to within an eighth.
class LatencyWindow
{
public:
    explicit LatencyWindow(Duration window);

    void add(TimePoint now, Duration latency);
    /// Number of latencies in the window.
    std::uint32_t count() const { return m_current.count + m_previous.count; }
    /// Upper bound of the bucket that holds the quantile; zero if there are no latencies.
    Duration quantile(double share) const;

private:
    /// 8 buckets for each power of two of microseconds.
    static constexpr std::size_t BUCKETS = 256;
    struct Counts
    {
        std::array<std::uint32_t, BUCKETS> buckets{};
        std::uint32_t count = 0;
    };

    Duration m_window;
    TimePoint m_windowEnd;
    Counts m_current;
    Counts m_previous;
};

} // namespace ivyspar
