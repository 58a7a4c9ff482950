#include "coordination/configuration/internal/freshness.h"

#include <algorithm>

namespace ivyspar {

namespace {

constexpr std::uint32_t MAX_DOUBLINGS = 10;

/// Uniformly distributed from `least` up to, but not including, `most`.
Duration drawBetween(Duration least, Duration most, IRandom &random)
{
    const auto width = std::max<Duration::rep>(1, (most - least).count());
    return least + Duration(static_cast<Duration::rep>(random.below(std::uint64_t(width))));
}

} // namespace

Freshness::Freshness(const FreshnessOptions &options)
    : m_options(options)
{
}

bool Freshness::confirm(TimePoint now, TimePoint asOf, IRandom &random)
{
    const TimePoint known = std::min(asOf, now);
    if (m_asOf && known <= *m_asOf) {
        return false;
    }
    m_asOf = known;
    const Duration longest = m_options.maxAge();
    m_dueAt = known + drawBetween(longest / 2, longest, random);
    // A stale confirmation, by peers that are as far behind as this daemon, must not end the
    // backoff and add load to the log.
    if (!isStale(now)) {
        m_failures = 0;
        m_notBefore = TimePoint();
    }
    return true;
}

void Freshness::expire()
{
    m_asOf.reset();
    m_dueAt = TimePoint();
}

void Freshness::onReadFailed(TimePoint startedAt, IRandom &random)
{
    m_notBefore = startedAt + pauseAfterFailures(random);
    ++m_failures;
}

/// The first failure after a success is typically due to a connection that died while idle; the
/// next read opens a new one and can start at once.
Duration Freshness::pauseAfterFailures(IRandom &random) const
{
    if (m_failures == 0) {
        return Duration::zero();
    }
    const Duration pause =
        std::min(m_options.maxRetryInterval,
                 m_options.baseRetryInterval * (1U << std::min(m_failures, MAX_DOUBLINGS)));
    return drawBetween(pause / 2, pause, random);
}

TimePoint Freshness::nextRead() const
{
    return std::max(m_dueAt, m_notBefore);
}

std::optional<Duration> Freshness::age(TimePoint now) const
{
    if (!m_asOf) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(now - *m_asOf);
}

bool Freshness::isStale(TimePoint now) const
{
    return !m_asOf || now - *m_asOf >= m_options.maxAge();
}

std::unique_ptr<IFreshness> makeFreshness(const FreshnessOptions &options)
{
    return std::make_unique<Freshness>(options);
}

} // namespace ivyspar
