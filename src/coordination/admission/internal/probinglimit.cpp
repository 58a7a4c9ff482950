#include "coordination/admission/internal/probinglimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyspar {

namespace {
/// Minimum length of an epoch, in calls and in rounds of the current limit.
constexpr std::uint32_t EPOCH_CALLS = 100;
constexpr double EPOCH_ROUNDS = 2;
constexpr double LOWER_FACTOR = 0.8;
constexpr double HIGHER_FACTOR = 1.25;
/// A lower limit is kept if at least this share of the throughput remains …
constexpr double KEPT_THROUGHPUT = 0.97;
/// … and a higher limit if the throughput grows by this factor.
constexpr double GAINED_THROUGHPUT = 1.05;
/// A trial of a lower limit ends early if, after at least EARLY_CALLS calls, the throughput is
/// below LOST_THROUGHPUT times the throughput before the trial.
constexpr std::uint32_t EARLY_CALLS = 30;
constexpr double LOST_THROUGHPUT = 0.9;
/// Time for which calls must have been slow before a trial.
constexpr Duration MIN_SLOW_TIME = std::chrono::seconds(5);
/// Service times above this multiple of the fastest are slow.
constexpr double SLOW_FACTOR = 1.5;
/// Factor by which the fastest service time rises per epoch.
constexpr double FASTEST_DECAY = 1.005;
constexpr double RECENT_WEIGHT = 0.1;
/// An epoch is saturated if at least this share of the limit was in use on average.
constexpr double SATURATED_SHARE = 0.8;
constexpr double USED_SHARE = 0.5;
constexpr double OVERLOADED_DECREASE = 0.9;
/// Increase of the limit per successful call, after the slow start.
constexpr double INCREASE = 0.25;
constexpr std::uint32_t MAX_PAUSE_EPOCHS = 32;
} // namespace

ProbingLimit::ProbingLimit(double initialShare, double minShare)
    : m_range(initialShare, minShare)
{
}

void ProbingLimit::onSample(TimePoint now, const LimitSample &sample)
{
    if (sample.result == CallResult::Overloaded) {
        onOverloaded(now, sample);
        return;
    }
    const bool isSuccess = sample.result == CallResult::Success;
    if (!isSuccess && sample.result != CallResult::TimedOut) {
        return;
    }
    const auto time = static_cast<double>(sample.serviceTime.count());
    m_recent = m_recent <= 0 ? time : m_recent + RECENT_WEIGHT * (time - m_recent);
    if (isSuccess && m_phase == Phase::Steady) {
        grow(sample);
    }
    if (m_callsToSettle > 0) {
        --m_callsToSettle;
        m_epoch = Epoch();
        m_epoch.start = now;
        return;
    }
    ++m_epoch.ended;
    m_epoch.succeeded += isSuccess ? 1 : 0;
    m_epoch.serviceTime += time;
    m_epoch.inFlight += sample.inFlight;
    const double calls = std::max<double>(EPOCH_CALLS, EPOCH_ROUNDS * m_range.value());
    if (m_epoch.ended >= calls || hasLostThroughput(now)) {
        endEpoch(now);
    }
}

void ProbingLimit::onOverloaded(TimePoint now, const LimitSample &sample)
{
    m_isCold = false;
    // Refusals that arrive together indicate a single overload. Without this pause they would drop
    // the limit to its minimum.
    if (now < m_nextDecrease) {
        return;
    }
    const Duration round(std::llround(m_recent));
    m_nextDecrease = now + std::max(round, sample.serviceTime);
    m_phase = Phase::Steady;
    changeLimit(m_range.value() * OVERLOADED_DECREASE);
}

bool ProbingLimit::isSlow() const
{
    return m_fastest > 0 && m_recent > SLOW_FACTOR * m_fastest;
}

void ProbingLimit::grow(const LimitSample &sample)
{
    if (isSlow() || sample.inFlight < USED_SHARE * m_range.value()) {
        return;
    }
    // Slow start: the limit doubles with each round of calls until the first sign of overload.
    m_range.set(m_range.value() + (m_isCold ? 1.0 : INCREASE));
}

/// Successes per microsecond in this epoch.
double ProbingLimit::throughput(TimePoint now) const
{
    const auto length = std::max<Duration::rep>(1, (now - m_epoch.start).count());
    return m_epoch.succeeded / static_cast<double>(length);
}

// With few slots or slow calls an epoch takes seconds; a failing trial ends before that.
bool ProbingLimit::hasLostThroughput(TimePoint now) const
{
    return m_phase == Phase::Lower && m_epoch.ended >= EARLY_CALLS
        && throughput(now) < LOST_THROUGHPUT * m_throughputBefore;
}

void ProbingLimit::endEpoch(TimePoint now)
{
    const double measured = throughput(now);
    const double mean = m_epoch.serviceTime / m_epoch.ended;
    const bool isSaturated = m_epoch.inFlight >= SATURATED_SHARE * m_range.value() * m_epoch.ended;
    m_fastest = m_fastest <= 0 ? mean : std::min(m_fastest * FASTEST_DECAY, mean);
    m_epoch = Epoch();
    m_epoch.start = now;
    if (m_phase != Phase::Steady) {
        evaluateTrial(measured);
        return;
    }
    // An epoch in which calls became slow mixes both states and gives no throughput to compare
    // with.
    const bool wasSlow = std::exchange(m_wasSlow, isSlow());
    if (!isSaturated || !wasSlow || !isSlow()) {
        m_slowSince = now;
        return;
    }
    m_isCold = false;
    // A trial costs throughput if calls are slow for another reason, such as a slow downstream
    // service. The cause that a trial can detect, a server that announces too many slots, persists.
    if (now - m_slowSince < MIN_SLOW_TIME) {
        return;
    }
    if (m_pauseEpochs > 0) {
        --m_pauseEpochs;
        return;
    }
    startTrial(measured);
}

void ProbingLimit::startTrial(double measured)
{
    m_throughputBefore = measured;
    m_limitBefore = m_range.value();
    m_phase = m_isHigherNext ? Phase::Higher : Phase::Lower;
    changeLimit(m_limitBefore * (m_isHigherNext ? HIGHER_FACTOR : LOWER_FACTOR));
    if (m_range.value() == m_limitBefore) {
        m_phase = Phase::Steady;
        m_isHigherNext = !m_isHigherNext;
    }
}

void ProbingLimit::evaluateTrial(double measured)
{
    switch (m_phase) {
    case Phase::Lower:
        if (measured >= GAINED_THROUGHPUT * m_throughputBefore) {
            acceptTrial(m_range.value(), measured);
            return;
        }
        if (measured >= KEPT_THROUGHPUT * m_throughputBefore) {
            m_throughputOnTrial = measured;
            m_phase = Phase::Verify;
            changeLimit(m_limitBefore);
            return;
        }
        break;
    case Phase::Verify:
        if (m_throughputOnTrial >= KEPT_THROUGHPUT * measured) {
            acceptTrial(m_limitBefore * LOWER_FACTOR, m_throughputOnTrial);
            return;
        }
        break;
    case Phase::Higher:
        if (measured >= GAINED_THROUGHPUT * m_throughputBefore) {
            acceptTrial(m_range.value(), measured);
            return;
        }
        break;
    case Phase::Steady:
        return;
    }
    m_phase = Phase::Steady;
    m_isHigherNext = !m_isHigherNext;
    m_pauseEpochs = m_nextPauseEpochs;
    m_nextPauseEpochs = std::min(2 * m_nextPauseEpochs, MAX_PAUSE_EPOCHS);
    changeLimit(m_limitBefore);
}

/// Keeps the limit of a successful trial and starts the next trial immediately.
void ProbingLimit::acceptTrial(double limit, double measured)
{
    m_range.set(limit);
    m_nextPauseEpochs = MIN_PAUSE_EPOCHS;
    startTrial(measured);
}

void ProbingLimit::endTrial()
{
    const bool isOnTrial = m_phase != Phase::Steady;
    m_phase = Phase::Steady;
    changeLimit(isOnTrial ? m_limitBefore : m_range.value());
}

void ProbingLimit::changeLimit(double limit)
{
    m_callsToSettle = m_range.limit();
    m_range.set(limit);
}

void ProbingLimit::setCeiling(std::uint32_t ceiling)
{
    m_range.setCeiling(ceiling);
}

std::uint32_t ProbingLimit::limit() const
{
    return m_range.limit();
}

} // namespace ivyspar
