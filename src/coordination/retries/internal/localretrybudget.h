#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "coordination/admission/demandrate.h"
#include "coordination/retries/ilocalretrybudget.h"

namespace ivyspar {

class LocalRetryBudget : public ILocalRetryBudget
{
public:
    explicit LocalRetryBudget(const LocalRetryBudgetOptions &options);

    void onArrival(TimePoint now, bool isRepeat) override;
    bool tryTake(TimePoint now, Priority priority) override;

private:
    /// Counting steps per window. Two windows are kept.
    static constexpr int STEPS_PER_WINDOW = 20;
    static constexpr std::size_t STEPS = 2 * STEPS_PER_WINDOW;
    struct Step
    {
        std::uint32_t firstArrivals = 0;
        std::uint32_t repeats = 0;
    };
    /// Totals of the n newest steps, at index n.
    struct CumulativeCounts
    {
        std::array<std::uint32_t, STEPS + 1> firstArrivals{};
        std::array<std::uint32_t, STEPS + 1> repeats{};
    };

    void advance(TimePoint now);
    /// Repeats that are left in the budget.
    double left() const;
    CumulativeCounts cumulativeCounts() const;
    /// First arrivals that count for the window that ends after `stepsAhead` more steps.
    static double firstArrivalsFor(const CumulativeCounts &counts, int stepsAhead);
    double reservedAbove(TimePoint now, Priority priority) const;

    LocalRetryBudgetOptions m_options;
    std::array<Step, STEPS> m_steps;
    /// Index of the current step, counted from the clock's epoch.
    std::int64_t m_current = 0;
    /// Recently requested repeats per second, by priority.
    std::map<Priority, DemandRate> m_requestRates;
};

} // namespace ivyspar
