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
/// Rules are named by peers; a faulty one must not fill the memory.
constexpr std::size_t MAX_RULES = 4096;

} // namespace

void ServiceTimes::add(const RuleName &rule, Duration time)
{
    const auto sample = static_cast<double>(time.count());
    const auto known = m_times.find(rule);
    if (known != m_times.end()) {
        const double direction = sample > known->second ? QUANTILE : QUANTILE - 1;
        known->second *= 1 + STEP * direction;
        return;
    }
    if (m_times.size() < MAX_RULES) {
        m_times.emplace(rule, std::max(sample, 1.0));
    }
}

std::optional<Duration> ServiceTimes::of(const RuleName &rule) const
{
    const auto known = m_times.find(rule);
    if (known == m_times.end()) {
        return std::nullopt;
    }
    return Duration(std::llround(known->second));
}

} // namespace ivyspar
