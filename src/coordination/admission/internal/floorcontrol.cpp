#include "coordination/admission/internal/floorcontrol.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ivyspar {

namespace {
constexpr unsigned BUCKET_SHIFT = 16;
constexpr double BUCKET_WIDTH = 1U << BUCKET_SHIFT;
/// A bucket with a smaller share above the floor gives no usable estimate of its rate.
constexpr double MIN_VISIBLE_SHARE = 0.05;
/// Weight of one window in the arrival rates, and of one service time in the start rate.
constexpr double RATE_WEIGHT = 0.3;
constexpr double START_WEIGHT = 0.3;
/// Buckets with fewer arrivals per window are removed.
constexpr double MIN_TRACKED_RATE = 0.01;
/// Increase of the admitted volume in the first quiet window; doubles with each further one.
constexpr double LOWERING_STEP = 0.1;
/// Outside of this range of the queue fill the floor is adjusted toward a half-full queue.
constexpr double HIGH_FILL = 0.75;
constexpr double LOW_FILL = 0.25;
/// Relative change of the target volume per unit of deviation from half full.
constexpr double FILL_GAIN = 0.1;
} // namespace

FloorControl::FloorControl(const FloorOptions &options)
    : m_options(options)
{
}

void FloorControl::onArrival(Rank rank)
{
    if (rank < m_floor) {
        return;
    }
    ++m_buckets[rank.value() >> BUCKET_SHIFT].arrivals;
}

double FloorControl::visibleShare(std::uint32_t bucket) const
{
    const std::uint32_t floorBucket = m_floor.value() >> BUCKET_SHIFT;
    if (bucket != floorBucket) {
        return bucket > floorBucket ? 1.0 : 0.0;
    }
    const std::uint32_t hidden = m_floor.value() & ((1U << BUCKET_SHIFT) - 1);
    return 1.0 - hidden / BUCKET_WIDTH;
}

void FloorControl::advance(TimePoint now, Duration serviceTime)
{
    const Duration length = m_options.window;
    if (!m_isRunning) {
        m_isRunning = true;
        m_windowEnd = now + length;
        return;
    }
    if (now < m_windowEnd) {
        return;
    }
    // Starts come in rounds of one service time; a mean over less time would oscillate with them.
    const double rounds = static_cast<double>(length.count())
        / static_cast<double>(std::max<Duration::rep>(1, serviceTime.count()));
    m_startWeight = std::min(RATE_WEIGHT, START_WEIGHT * rounds);
    // Missed windows count as quiet, so that the floor falls in time.
    const auto missed =
        std::min<std::int64_t>((now - m_windowEnd) / length, m_options.quietWindows);
    endWindow();
    for (std::int64_t i = 0; i < missed && m_floor.value() > 0; ++i) {
        endWindow();
    }
    m_windowEnd = now + length;
}

void FloorControl::endWindow()
{
    updateRates();
    m_startRate += m_startWeight * (m_started - m_startRate);
    const bool hasRefusals = m_capacityRefusals > margin() * m_started;
    if (m_wasIdle && !hasRefusals) {
        lowerFloor();
    } else if (hasRefusals || m_queueFill > HIGH_FILL) {
        m_quietWindows = 0;
        m_floor = std::max(m_floor, floorForVolume(targetVolume()));
    } else if (m_queueFill < LOW_FILL && m_floor.value() > 0) {
        m_floor = std::min(m_floor, floorForVolume(targetVolume()));
    }
    m_wasIdle = m_isIdle;
    m_started = 0;
    m_capacityRefusals = 0;
}

// The standard deviation of the arrivals in a window is about the square root of their number. With
// a smaller margin a gate with few slots would be idle in every other window.
double FloorControl::margin() const
{
    return std::max(m_options.margin, 1 / std::sqrt(std::max(m_startRate, 1.0)));
}

void FloorControl::lowerFloor()
{
    if (m_floor.value() == 0) {
        return;
    }
    const double step = LOWERING_STEP * std::exp2(m_quietWindows);
    ++m_quietWindows;
    const double volume = std::max(volumeAboveFloor(), 1.0) * (1 + step);
    const bool isOpen = m_quietWindows >= m_options.quietWindows;
    m_floor = isOpen ? Rank() : std::min(m_floor, floorForVolume(volume));
}

// The start rate, corrected by the deviation of the queue from half full. An empty queue wastes
// slots; an overflowing one wastes the work that the calling services have already done.
double FloorControl::targetVolume() const
{
    return std::max(m_startRate, 1.0) * (1 + FILL_GAIN * (0.5 - m_queueFill));
}

void FloorControl::setQueue(double fill, bool isIdle)
{
    m_queueFill = std::min(fill, 1.0);
    m_isIdle = isIdle;
    m_wasIdle = m_wasIdle || isIdle;
}

void FloorControl::updateRates()
{
    for (auto i = m_buckets.begin(); i != m_buckets.end();) {
        Bucket &bucket = i->second;
        const double visible = visibleShare(i->first);
        if (visible >= MIN_VISIBLE_SHARE) {
            bucket.rate += RATE_WEIGHT * (bucket.arrivals / visible - bucket.rate);
        }
        bucket.arrivals = 0;
        const bool isNegligible = visible >= 1 && bucket.rate < MIN_TRACKED_RATE;
        i = isNegligible ? m_buckets.erase(i) : std::next(i);
    }
}

double FloorControl::volumeAboveFloor() const
{
    double volume = 0;
    for (const auto &[key, bucket] : m_buckets) {
        volume += bucket.rate * visibleShare(key);
    }
    return volume;
}

Rank FloorControl::floorForVolume(double volume) const
{
    double left = volume;
    for (auto i = m_buckets.rbegin(); i != m_buckets.rend(); ++i) {
        const double rate = i->second.rate;
        if (rate > left) {
            const auto hidden = static_cast<std::uint32_t>((1 - left / rate) * (BUCKET_WIDTH - 1));
            return Rank((i->first << BUCKET_SHIFT) | hidden);
        }
        left -= rate;
    }
    return Rank();
}

TimePoint FloorControl::nextChange() const
{
    const bool isIdle = m_floor.value() == 0 && m_capacityRefusals == 0;
    return isIdle ? TimePoint::max() : m_windowEnd;
}

} // namespace ivyspar
