#include "state/internal/metrics.h"

#include <algorithm>
#include <cstdio>

#include "state/metricsfactory.h"

namespace ivyspar {

namespace {

// Ten buckets per decade: adjacent bounds differ by a factor of about 1.26.
constexpr unsigned BUCKET_COUNT = 70;
constexpr double MIN_BUCKET_SECONDS = 1e-5;
constexpr double MAX_BUCKET_SECONDS = 100;
constexpr double MICROSECONDS_PER_SECOND = 1e6;

template <typename E> std::size_t indexOf(E value)
{
    return static_cast<std::size_t>(value);
}

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

void writeHeader(const char *name, const char *help, const char *type, std::string &text)
{
    text += std::string("# HELP ") + name + ' ' + help + '\n';
    text += std::string("# TYPE ") + name + ' ' + type + '\n';
}

void writeValue(const std::string &name, const std::string &labels, const std::string &value,
                std::string &text)
{
    text += name;
    text += labels.empty() ? "" : '{' + labels + '}';
    text += ' ';
    text += value;
    text += '\n';
}

std::string label(const char *name, const std::string &value)
{
    return std::string(name) + "=\"" + value + '"';
}

/// Omits combinations with a count of 0, as most never occur.
void writeOutcome(const char *name, std::size_t outcome, const std::string &other,
                  std::uint64_t value, std::string &text)
{
    if (value == 0) {
        return;
    }
    const std::string labels =
        label("outcome", toText(static_cast<Outcome>(outcome))) + ',' + other;
    writeValue(name, labels, std::to_string(value), text);
}

} // namespace

Metrics::Distribution::Distribution()
    : histogram(std::make_tuple(Axis(BUCKET_COUNT, MIN_BUCKET_SECONDS, MAX_BUCKET_SECONDS)))
{
}

Metrics::Metrics() = default;

void Metrics::add(Counter counter, std::uint64_t amount)
{
    m_counters[indexOf(counter)].fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::countRequest(const Verdict &verdict, Priority priority)
{
    const std::size_t row = std::min<std::size_t>(priority.value(), PRIORITY_COUNT - 1);
    m_requests[indexOf(verdict.outcome)][row].fetch_add(1, std::memory_order_relaxed);
    m_reasons[indexOf(verdict.outcome)][indexOf(verdict.reason)].fetch_add(
        1, std::memory_order_relaxed);
}

void Metrics::set(Gauge gauge, std::int64_t value)
{
    m_gauges[indexOf(gauge)].store(value, std::memory_order_relaxed);
}

void Metrics::observe(Timing timing, Duration duration)
{
    const std::int64_t microseconds = std::max<std::int64_t>(duration.count(), 0);
    Distribution &distribution = m_timings[indexOf(timing)];
    distribution.histogram(static_cast<double>(microseconds) / MICROSECONDS_PER_SECOND);
    distribution.microseconds.fetch_add(static_cast<std::uint64_t>(microseconds),
                                        std::memory_order_relaxed);
}

std::string Metrics::text() const
{
    std::string text;
    writeRequests(text);
    writeReasons(text);
    writeCounters(text);
    writeGauges(text);
    for (std::size_t i = 0; i < countOf<Timing>(); ++i) {
        writeTiming(static_cast<Timing>(i), text);
    }
    return text;
}

void Metrics::writeCounters(std::string &text) const
{
    const char *previous = "";
    for (std::size_t i = 0; i < countOf<Counter>(); ++i) {
        const MetricDescription &name = descriptionOf(static_cast<Counter>(i));
        if (std::string(previous) != name.name) {
            writeHeader(name.name, name.help, "counter", text);
        }
        previous = name.name;
        writeValue(name.name, name.labels, std::to_string(m_counters[i].load()), text);
    }
}

void Metrics::writeGauges(std::string &text) const
{
    for (std::size_t i = 0; i < countOf<Gauge>(); ++i) {
        const MetricDescription &name = descriptionOf(static_cast<Gauge>(i));
        writeHeader(name.name, name.help, "gauge", text);
        writeValue(name.name, name.labels, std::to_string(m_gauges[i].load()), text);
    }
}

void Metrics::writeRequests(std::string &text) const
{
    const char name[] = "ivyspar_requests_total";
    writeHeader(name, "Requests of callers, by outcome and priority.", "counter", text);
    for (std::size_t outcome = 0; outcome < OUTCOME_COUNT; ++outcome) {
        for (std::size_t priority = 0; priority < PRIORITY_COUNT; ++priority) {
            writeOutcome(name, outcome, label("priority", std::to_string(priority)),
                         m_requests[outcome][priority], text);
        }
    }
}

void Metrics::writeReasons(std::string &text) const
{
    const char name[] = "ivyspar_request_reasons_total";
    writeHeader(name, "Requests of callers, by outcome and reason.", "counter", text);
    for (std::size_t outcome = 0; outcome < OUTCOME_COUNT; ++outcome) {
        for (std::size_t reason = 0; reason < REASON_COUNT; ++reason) {
            writeOutcome(name, outcome, label("reason", toText(static_cast<Reason>(reason))),
                         m_reasons[outcome][reason], text);
        }
    }
}

void Metrics::writeTiming(Timing timing, std::string &text) const
{
    const MetricDescription &name = descriptionOf(timing);
    const Distribution &distribution = m_timings[indexOf(timing)];
    const Axis &axis = distribution.histogram.axis();
    const std::string bucket = std::string(name.name) + "_bucket";
    writeHeader(name.name, name.help, "histogram", text);
    std::uint64_t total = 0;
    // Index -1 counts values below the first bound, BUCKET_COUNT those above the last.
    for (int i = -1; i < static_cast<int>(BUCKET_COUNT); ++i) {
        total += distribution.histogram.at(i).load();
        writeValue(bucket, label("le", number(axis.value(i + 1))), std::to_string(total), text);
    }
    total += distribution.histogram.at(static_cast<int>(BUCKET_COUNT)).load();
    writeValue(bucket, label("le", "+Inf"), std::to_string(total), text);
    const double sum =
        static_cast<double>(distribution.microseconds.load()) / MICROSECONDS_PER_SECOND;
    writeValue(std::string(name.name) + "_sum", "", std::to_string(sum), text);
    writeValue(std::string(name.name) + "_count", "", std::to_string(total), text);
}

std::unique_ptr<IMetrics> makeMetrics()
{
    return std::make_unique<Metrics>();
}

} // namespace ivyspar
