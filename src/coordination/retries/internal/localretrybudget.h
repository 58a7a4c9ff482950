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
    /// Steps in which a window is counted. Two windows are kept.
    static constexpr int STEPS_PER_WINDOW = 20;
    static constexpr std::size_t STEPS = 2 * STEPS_PER_WINDOW;
    struct Step
    {
        std::uint32_t firstArrivals = 0;
        std::uint32_t repeats = 0;
    };
    /// At n, what the n newest steps counted.
    struct CumulativeCounts
    {
        std::array<std::uint32_t, STEPS + 1> firstArrivals{};
        std::array<std::uint32_t, STEPS + 1> repeats{};
    };

    void advance(TimePoint now);
    /// What is left of the budget, in repeats.
    double left() const;
    CumulativeCounts cumulativeCounts() const;
    /// First arrivals that count for the window that ends after `stepsAhead` more steps.
    static double firstArrivalsFor(const CumulativeCounts &counts, int stepsAhead);
    double reservedAbove(TimePoint now, Priority priority) const;

    LocalRetryBudgetOptions m_options;
    std::array<Step, STEPS> m_steps;
    /// Number of the step that goes on, since the clock's start.
    std::int64_t m_current = 0;
    /// Repeats a second that calls of a priority asked for lately.
    std::map<Priority, DemandRate> m_requestRates;
};

} // namespace ivyspar
