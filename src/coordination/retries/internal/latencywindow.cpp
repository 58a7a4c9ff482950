#include "coordination/retries/internal/latencywindow.h"

#include <algorithm>
#include <cmath>

namespace ivyspar {

namespace {
constexpr double BUCKETS_PER_OCTAVE = 8;
} // namespace

LatencyWindow::LatencyWindow(Duration window)
    : m_window(window)
{
}

void LatencyWindow::add(TimePoint now, Duration latency)
{
    if (now >= m_windowEnd) {
        const bool isPreviousStale = now >= m_windowEnd + m_window;
        m_previous = isPreviousStale ? Counts() : m_current;
        m_current = Counts();
        m_windowEnd = now + m_window;
    }
    const auto time = static_cast<double>(std::max<Duration::rep>(1, latency.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(time) * BUCKETS_PER_OCTAVE);
    ++m_current.buckets[std::min(bucket, BUCKETS - 1)];
    ++m_current.count;
}

Duration LatencyWindow::quantile(double share) const
{
    const double wanted = share * count();
    double seen = 0;
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        seen += m_current.buckets[i] + m_previous.buckets[i];
        if (seen > 0 && seen >= wanted) {
            const double bound = std::exp2(static_cast<double>(i + 1) / BUCKETS_PER_OCTAVE);
            return Duration(std::llround(bound));
        }
    }
    return Duration(0);
}

} // namespace ivyspar
