#include "coordination/retries/internal/localretrybudget.h"

#include <algorithm>
#include <limits>

namespace ivyspar {

namespace {

/// Time over which the requested repeats are averaged: a shedding server is noticed within it, and
/// one burst of losses reserves little.
constexpr Duration REQUEST_RATE_WINDOW = std::chrono::seconds(1);

} // namespace

std::unique_ptr<ILocalRetryBudget> makeLocalRetryBudget(const LocalRetryBudgetOptions &options)
{
    return std::make_unique<LocalRetryBudget>(options);
}

LocalRetryBudget::LocalRetryBudget(const LocalRetryBudgetOptions &options)
    : m_options(options)
{
}

void LocalRetryBudget::onArrival(TimePoint now, bool isRepeat)
{
    advance(now);
    Step &step = m_steps[static_cast<std::size_t>(m_current) % STEPS];
    ++(isRepeat ? step.repeats : step.firstArrivals);
}

bool LocalRetryBudget::tryTake(TimePoint now, Priority priority)
{
    if (!m_options.isEnabled || m_options.ratio <= 0) {
        return false;
    }
    advance(now);
    m_requestRates[priority].add(now, 1, REQUEST_RATE_WINDOW);
    if (left() - reservedAbove(now, priority) < 1) {
        return false;
    }
    ++m_steps[static_cast<std::size_t>(m_current) % STEPS].repeats;
    return true;
}

void LocalRetryBudget::advance(TimePoint now)
{
    const Duration length = m_options.window / STEPS_PER_WINDOW;
    const std::int64_t current = now.time_since_epoch() / length;
    const std::int64_t passed = current - m_current;
    for (std::int64_t i = 1; i <= std::min<std::int64_t>(passed, STEPS); ++i) {
        m_steps[static_cast<std::size_t>(m_current + i) % STEPS] = Step();
    }
    m_current = passed > static_cast<std::int64_t>(STEPS) ? current : std::max(current, m_current);
}

/// A repeat sent now counts in every window that has started and not ended. It has to fit into each
/// of them even if nothing else arrives before the window ends.
double LocalRetryBudget::left() const
{
    const CumulativeCounts counts = cumulativeCounts();
    double least = std::numeric_limits<double>::max();
    for (int stepsAhead = 0; stepsAhead < STEPS_PER_WINDOW; ++stepsAhead) {
        // The oldest step may lie partly in the window.
        const auto repeats = static_cast<double>(counts.repeats[STEPS_PER_WINDOW - stepsAhead + 1]);
        const double allowed =
            m_options.usedRatio * m_options.ratio * firstArrivalsFor(counts, stepsAhead);
        least = std::min(least, allowed - repeats);
    }
    return least;
}

LocalRetryBudget::CumulativeCounts LocalRetryBudget::cumulativeCounts() const
{
    CumulativeCounts counts;
    for (std::size_t i = 0; i < STEPS; ++i) {
        const Step &step = m_steps[(static_cast<std::size_t>(m_current) + STEPS - i) % STEPS];
        counts.firstArrivals[i + 1] = counts.firstArrivals[i] + step.firstArrivals;
        counts.repeats[i + 1] = counts.repeats[i] + step.repeats;
    }
    return counts;
}

/// A failing service receives fewer calls, which must not reduce its repeats at once. So the
/// largest of three windows counts: this one, the one half a window earlier, and the one before it.
double LocalRetryBudget::firstArrivalsFor(const CumulativeCounts &counts, int stepsAhead)
{
    std::uint32_t most = 0;
    for (int shift = 0; shift <= STEPS_PER_WINDOW; shift += STEPS_PER_WINDOW / 2) {
        const int newest = shift - stepsAhead;
        // Only steps that lie entirely in that window, however far the current step has advanced.
        const int from = newest > 0 ? newest + 1 : 0;
        const int to = std::max(newest + STEPS_PER_WINDOW, from);
        most = std::max(most, counts.firstArrivals[to] - counts.firstArrivals[from]);
    }
    return most;
}

/// Served first come, first served, a budget that could repair all call trees of one rule would
/// repair half of the calls of each rule, and trees with several such calls would fail in both.
double LocalRetryBudget::reservedAbove(TimePoint now, Priority priority) const
{
    double asked = 0;
    for (auto above = m_requestRates.upper_bound(priority); above != m_requestRates.end();
         ++above) {
        asked += above->second.rate(now, REQUEST_RATE_WINDOW);
    }
    return asked * toSeconds(m_options.reserveTime);
}

} // namespace ivyspar
