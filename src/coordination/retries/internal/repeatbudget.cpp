#include "coordination/retries/internal/repeatbudget.h"

#include <algorithm>
#include <limits>

namespace ivyspar {

namespace {

/// Time over which the repeats that are asked for are averaged: a shedding server is found out
/// within it, and one burst of losses reserves little.
constexpr Duration ASKED_MEMORY = std::chrono::seconds(1);

} // namespace

std::unique_ptr<IRepeatBudget> makeRepeatBudget(const RepeatBudgetOptions &options)
{
    return std::make_unique<RepeatBudget>(options);
}

RepeatBudget::RepeatBudget(const RepeatBudgetOptions &options)
    : m_options(options)
{
}

void RepeatBudget::onArrival(TimePoint now, bool isRepeat)
{
    advance(now);
    Step &step = m_steps[static_cast<std::size_t>(m_current) % STEPS];
    ++(isRepeat ? step.repeats : step.firsts);
}

bool RepeatBudget::take(TimePoint now, Priority priority)
{
    if (!m_options.isOn || m_options.ratio <= 0) {
        return false;
    }
    advance(now);
    m_asked[priority].add(now, 1, ASKED_MEMORY);
    if (left() - reservedAbove(now, priority) < 1) {
        return false;
    }
    ++m_steps[static_cast<std::size_t>(m_current) % STEPS].repeats;
    return true;
}

void RepeatBudget::advance(TimePoint now)
{
    const Duration length = m_options.window / WINDOW;
    const std::int64_t current = now.time_since_epoch() / length;
    const std::int64_t passed = current - m_current;
    for (std::int64_t i = 1; i <= std::min<std::int64_t>(passed, STEPS); ++i) {
        m_steps[static_cast<std::size_t>(m_current + i) % STEPS] = Step();
    }
    m_current = passed > static_cast<std::int64_t>(STEPS) ? current : std::max(current, m_current);
}

/// A repeat of now is counted in every window that has begun and not ended. In each of them it must
/// fit, though nothing else may arrive until its end.
double RepeatBudget::left() const
{
    const Sums sums = sumUp();
    double least = std::numeric_limits<double>::max();
    for (int toCome = 0; toCome < WINDOW; ++toCome) {
        // The oldest step may reach into the window.
        const auto repeats = static_cast<double>(sums.repeats[WINDOW - toCome + 1]);
        const double allowed = m_options.usedShare * m_options.ratio * firstsFor(sums, toCome);
        least = std::min(least, allowed - repeats);
    }
    return least;
}

RepeatBudget::Sums RepeatBudget::sumUp() const
{
    Sums sums;
    for (std::size_t i = 0; i < STEPS; ++i) {
        const Step &step = m_steps[(static_cast<std::size_t>(m_current) + STEPS - i) % STEPS];
        sums.firsts[i + 1] = sums.firsts[i] + step.firsts;
        sums.repeats[i + 1] = sums.repeats[i] + step.repeats;
    }
    return sums;
}

/// A service of which less is asked while it fails is still owed what the time before allowed: the
/// window itself counts, the one that ended half of it before, or the one before it.
double RepeatBudget::firstsFor(const Sums &sums, int toCome)
{
    std::uint32_t most = 0;
    for (int shift = 0; shift <= WINDOW; shift += WINDOW / 2) {
        const int newest = shift - toCome;
        // Only the steps that lie in that window whole, wherever in the current step it is now.
        const int from = newest > 0 ? newest + 1 : 0;
        const int to = std::max(newest + WINDOW, from);
        most = std::max(most, sums.firsts[to] - sums.firsts[from]);
    }
    return most;
}

/// Dealt first come first served, a budget that could mend all trees of one rule mends half of
/// each, and trees with several calls there are whole in neither.
double RepeatBudget::reservedAbove(TimePoint now, Priority priority) const
{
    double asked = 0;
    for (auto above = m_asked.upper_bound(priority); above != m_asked.end(); ++above) {
        asked += above->second.rate(now, ASKED_MEMORY);
    }
    return asked * toSeconds(m_options.reserve);
}

} // namespace ivyspar
