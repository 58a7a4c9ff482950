#pragma once

#include <array>
#include <atomic>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "state/internal/metricnames.h"

namespace ivyspar {

/// Uses relaxed atomics: each value is exact, but values read together may be from different times.
class Metrics : public IMetrics
{
public:
    Metrics();

    void add(Counter counter, std::uint64_t amount) override;
    void countRequest(const Verdict &verdict, Priority priority) override;
    void set(Gauge gauge, std::int64_t value) override;
    void observe(Timing timing, Duration duration) override;
    std::string text() const override;

private:
    using Total = std::atomic<std::uint64_t>;
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Histogram =
        boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Cell>>;

    struct Distribution
    {
        Distribution();

        Histogram histogram; ///< In seconds.
        Total microseconds{ 0 };
    };

    static constexpr std::size_t PRIORITY_COUNT = 101;
    static constexpr std::size_t OUTCOME_COUNT = 3;
    static constexpr std::size_t REASON_COUNT = static_cast<std::size_t>(Reason::Last) + 1;

    void writeCounters(std::string &text) const;
    void writeGauges(std::string &text) const;
    void writeRequests(std::string &text) const;
    void writeReasons(std::string &text) const;
    void writeTiming(Timing timing, std::string &text) const;

    std::array<Total, countOf<Counter>()> m_counters{};
    std::array<std::atomic<std::int64_t>, countOf<Gauge>()> m_gauges{};
    std::array<Distribution, countOf<Timing>()> m_timings;
    std::array<std::array<Total, PRIORITY_COUNT>, OUTCOME_COUNT> m_requests{};
    std::array<std::array<Total, REASON_COUNT>, OUTCOME_COUNT> m_reasons{};
};

} // namespace ivyspar
