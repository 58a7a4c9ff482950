#include "coordination/configuration/internal/pollschedule.h"

#include <algorithm>

#include <xxhash.h>

namespace ivyspar {

namespace {

std::uint64_t weightOf(const DaemonId &daemon)
{
    return XXH3_64bits(daemon.value().data(), daemon.value().size());
}

/// Uniformly distributed from 0.5 to 1.5 times `mean`.
Duration drawAround(Duration mean, IRandom &random)
{
    const auto width = static_cast<std::uint64_t>(std::max<Duration::rep>(1, mean.count()));
    return mean / 2 + Duration(static_cast<Duration::rep>(random.below(width)));
}

} // namespace

bool isFastPoller(const DaemonId &self, const std::vector<DaemonId> &domainPeers,
                  std::uint32_t fastPerDomain)
{
    const std::uint64_t own = weightOf(self);
    const auto isBefore = [&](const DaemonId &peer) {
        const std::uint64_t weight = weightOf(peer);
        return weight > own || (weight == own && peer < self);
    };
    const auto before = std::count_if(domainPeers.begin(), domainPeers.end(), isBefore);
    return before < static_cast<std::int64_t>(fastPerDomain);
}

Duration drawSharedReadPause(Duration interval, std::size_t daemons, IRandom &random)
{
    const auto count = static_cast<Duration::rep>(std::max<std::size_t>(1, daemons));
    return drawAround(interval * count, random);
}

PollSchedule::PollSchedule(const PollSettings &settings)
    : m_settings(settings)
{
}

Duration PollSchedule::longPollTimeout() const
{
    return m_isFast && m_failures == 0 ? m_settings.longPoll : Duration::zero();
}

Duration PollSchedule::onPage(bool isEmpty, bool isAtEnd, Duration took, IRandom &random)
{
    m_failures = 0;
    if (!isAtEnd) {
        return Duration::zero();
    }
    if (!m_isFast) {
        return drawAround(m_settings.slowInterval, random);
    }
    if (!isEmpty) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), m_settings.fastInterval - took);
}

/// Exponential backoff with jitter: without backoff all daemons would keep an overloaded log
/// overloaded; without jitter all would return at the same time when it recovers, and overload it
/// again.
Duration PollSchedule::onFailure(IRandom &random)
{
    constexpr std::uint32_t MAX_DOUBLINGS = 16;
    const Duration backoff =
        std::min(m_settings.maxBackoff,
                 m_settings.firstBackoff * (1U << std::min(m_failures, MAX_DOUBLINGS)));
    const bool isFirst = m_failures == 0;
    ++m_failures;
    const Duration pause = drawAround(backoff, random);
    // A single failure may be due to a dead connection: the next read opens a new one.
    return m_isFast || isFirst ? pause
                               : std::max(pause, drawAround(m_settings.slowInterval, random));
}

} // namespace ivyspar
