#include "coordination/admission/servicetimes.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace ivyspar {

namespace {

/// Share of the calls that end within the learned time.
constexpr double QUANTILE = 0.75;
/// Relative change by one sample; a sample above the quantile moves it up by `QUANTILE` of this.
constexpr double STEP = 0.05;
/// Samples that move the time by more than that: the first one may be a call that takes far longer
/// than the others.
constexpr double FIRST_SAMPLES = 10;
/// Rules are named by peers; a faulty one must not fill the memory.
constexpr std::size_t MAX_RULES = 4096;

} // namespace

void ServiceTimes::add(const RuleName &rule, Duration time)
{
    const auto sample = static_cast<double>(time.count());
    const auto known = m_times.find(rule);
    if (known != m_times.end()) {
        learn(known->second, sample);
        return;
    }
    if (m_times.size() < MAX_RULES) {
        m_times.emplace(rule, Learned{ std::max(sample, 1.0), 1 });
    }
}

void ServiceTimes::learn(Learned &learned, double sample)
{
    const double direction = sample > learned.time ? QUANTILE : QUANTILE - 1;
    const double step = STEP * std::max(FIRST_SAMPLES / learned.samples, 1.0);
    learned.time = std::max(learned.time * (1 + step * direction), 1.0);
    ++learned.samples;
}

std::optional<Duration> ServiceTimes::of(const RuleName &rule) const
{
    const auto known = m_times.find(rule);
    if (known == m_times.end()) {
        return std::nullopt;
    }
    return Duration(std::llround(known->second.time));
}

} // namespace ivyspar
