#pragma once

#include <cstdint>

#include "coordination/admission/iconcurrencylimit.h"
#include "coordination/admission/internal/limitrange.h"

namespace ivyspar {

/// Lowers the limit only where this costs no throughput. Long service times do not tell whether
/// calls slow each other down or whether the work became slower for another reason; in the second
/// case a lower limit only loses throughput. While service times are long, a lower limit is
/// therefore tried for some rounds of calls, and kept if the throughput on trial matches that
/// before and after.
class ProbingLimit : public IConcurrencyLimit
{
public:
    ProbingLimit(double initialShare, double minShare);

    void onSample(TimePoint now, const LimitSample &sample) override;
    void setCeiling(std::uint32_t ceiling) override;
    void endTrial() override;
    std::uint32_t limit() const override;

private:
    static constexpr std::uint32_t MIN_PAUSE_EPOCHS = 4;

    enum class Phase {
        Steady,
        Lower, ///< A lower limit is being tried.
        Verify, ///< Back at the previous limit, in case the throughput changed for another reason.
        Higher, ///< A higher limit is being tried.
    };
    /// Totals of the calls that ended under one limit.
    struct Epoch
    {
        TimePoint start;
        std::uint32_t ended = 0;
        std::uint32_t succeeded = 0;
        /// Sum over the calls, in µs.
        double serviceTime = 0;
        /// Sum over the calls.
        double inFlight = 0;
    };

    void onOverloaded(TimePoint now, const LimitSample &sample);
    void grow(const LimitSample &sample);
    double throughput(TimePoint now) const;
    bool hasLostThroughput(TimePoint now) const;
    void endEpoch(TimePoint now);
    void evaluateTrial(double measured);
    void acceptTrial(double limit, double measured);
    void startTrial(double measured);
    void changeLimit(double limit);
    bool isSlow() const;

    LimitRange m_range;
    Phase m_phase = Phase::Steady;
    Epoch m_epoch;
    /// Calls started under the previous limit that have not ended; they are not sampled.
    std::uint32_t m_callsToSettle = 0;
    /// Lowest mean service time of an epoch, in µs, raised slowly to adapt to slower work. 0 if
    /// unknown.
    double m_fastest = 0;
    /// Moving average of the service time, in µs.
    double m_recent = 0;
    TimePoint m_slowSince;
    double m_throughputBefore = 0;
    double m_throughputOnTrial = 0;
    double m_limitBefore = 0;
    bool m_wasSlow = false;
    bool m_isCold = true;
    bool m_isHigherNext = false;
    /// Epochs until the next trial, and after the next trial that fails.
    std::uint32_t m_pauseEpochs = 0;
    std::uint32_t m_nextPauseEpochs = MIN_PAUSE_EPOCHS;
    TimePoint m_nextDecrease;
};

} // namespace ivyspar
