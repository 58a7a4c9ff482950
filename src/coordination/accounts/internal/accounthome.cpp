#include "coordination/accounts/internal/accounthome.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivyspar {

namespace {

/// Below this share of the bucket's capacity, tokens go to waiting requests only, not to caches.
constexpr double LOW_LEVEL = 0.25;
/// Bounds on how long an entry is told not to request again.
constexpr Duration MIN_EMPTY_TIME = std::chrono::milliseconds(5);
constexpr Duration MAX_EMPTY_TIME = std::chrono::milliseconds(200);

Duration secondsOf(double seconds)
{
    constexpr double MICROS = 1e6;
    return Duration(static_cast<Duration::rep>(seconds * MICROS));
}

double partOf(RateShare share)
{
    return static_cast<double>(share.value()) / static_cast<double>(WHOLE_RATE.value());
}

/// Rounded down, so that the shares of all entries do not add up to more than the whole.
RateShare shareOf(double grant)
{
    return RateShare(
        static_cast<std::uint32_t>(std::floor(grant * static_cast<double>(WHOLE_RATE.value()))));
}

} // namespace

AccountHome::AccountHome(TimePoint since, bool isFallback, const AccountLimitOptions &options,
                         const AccountPlacement &placement)
    : m_options(options)
    , m_placement(placement)
    , m_isFallback(isFallback)
    , m_since(since)
    , m_refilledAt(since)
    , m_lastRequestAt(since)
{
}

TokenGrant AccountHome::grantTokens(TimePoint now, const AccountLimit &limit, const DaemonId &entry,
                                    const TokenDemand &demand)
{
    m_lastRequestAt = now;
    removeExpired(now);
    refill(now, limit);
    updateHolder(now, entry, demand);
    Holder &holder = m_holders[entry];
    TokenGrant grant;
    grant.account = demand.account;
    grant.tokens = tokensFor(demand);
    m_level -= grant.tokens;
    // Waiting requests consume their tokens at once.
    holder.tokens += grant.tokens - std::min(grant.tokens, demand.waiting);
    if (grant.tokens < demand.waiting) {
        grant.emptyFor = emptyFor(now, limit);
        holder.emptyUntil = now + grant.emptyFor;
    }
    grant.retryAfter = retryAfterFor(limit);
    grant.lease = lease(now, holder);
    grant.leaseDuration = m_isFallback ? demand.leaseLeft : m_options.leaseDuration;
    return grant;
}

void AccountHome::updateHolder(TimePoint now, const DaemonId &entry, const TokenDemand &demand)
{
    Holder &holder = m_holders[entry];
    holder.tokens = demand.held;
    holder.rate = demand.rate;
    holder.longTermRate = demand.longTermRate;
    holder.lease = demand.leaseLeft > Duration::zero() ? partOf(demand.lease) : 0;
    holder.leaseUntil = now + demand.leaseLeft + m_options.leaseMargin;
    holder.lastRequestAt = now;
    m_level += demand.returned;
    chargeLocalAdmissions(holder, demand.locallyAdmitted);
}

/// Requests admitted by lease beyond what was reserved for it are charged to the bucket: the home
/// granted the full rate to others meanwhile, and an entry with message loss may use its lease all
/// the time.
void AccountHome::chargeLocalAdmissions(Holder &holder, std::uint32_t locallyAdmitted)
{
    const std::uint32_t before = holder.locallyAdmitted.value_or(locallyAdmitted);
    const double more = locallyAdmitted > before ? locallyAdmitted - before : 0;
    m_level = std::max(m_level - std::max(more - holder.reservedTokens, 0.0), -m_burst);
    holder.reservedTokens = 0;
    holder.locallyAdmitted = locallyAdmitted;
}

/// Tokens cached at entries still count towards the bucket's capacity. Half of the operators'
/// tolerance is added to compensate for the distribution: otherwise the burst of a small account
/// would sit unused at entries.
void AccountHome::refill(TimePoint now, const AccountLimit &limit)
{
    m_burst = limit.burst;
    const double share = grantableShare(now);
    const double passed = toSeconds(std::chrono::duration_cast<Duration>(now - m_refilledAt));
    m_refilledAt = now;
    for (auto &[daemon, holder] : m_holders) {
        holder.reservedTokens +=
            isUnresponsive(now, holder) ? passed * limit.rate * holder.lease : 0;
    }
    if (!std::exchange(m_isInitialized, true) && share < 1) {
        m_level = toleranceTokens(limit) * m_placement.domainShare() / 2;
    }
    const double most = (limit.burst + toleranceTokens(limit)) * share;
    m_capacity = std::max(most - heldTokens(), 0.0);
    m_level = std::min(m_level + passed * limit.rate * share, m_capacity);
}

/// Also the initial fill of a bucket with less than the full rate, which would otherwise refuse all
/// requests at first.
double AccountHome::toleranceTokens(const AccountLimit &limit) const
{
    return (m_options.tolerance.slack + m_options.tolerance.overage * limit.burst) / 2;
}

std::uint32_t AccountHome::tokensFor(const TokenDemand &demand) const
{
    const double urgent = std::min<double>(demand.waiting, std::floor(m_level));
    const double left = m_level - urgent;
    const bool isLow = left < LOW_LEVEL * m_capacity;
    const double prefetch = isLow ? 0 : std::min<double>(demand.prefetch, std::floor(left / 2));
    return static_cast<std::uint32_t>(std::max(urgent + prefetch, 0.0));
}

/// Entries that were told to wait are served one after the other.
Duration AccountHome::emptyFor(TimePoint now, const AccountLimit &limit) const
{
    const auto before = std::count_if(m_holders.begin(), m_holders.end(), [now](const auto &each) {
        return each.second.emptyUntil > now;
    });
    const double missing = static_cast<double>(before) + 1 - m_level;
    const double rate = std::max(limit.rate * grantableShare(now), 1e-3);
    return std::clamp(secondsOf(missing / rate), MIN_EMPTY_TIME, MAX_EMPTY_TIME);
}

/// The time in which the limit can serve one second's excess demand, without further requests.
Duration AccountHome::retryAfterFor(const AccountLimit &limit) const
{
    const double excess = std::max(totalDemandRate() - limit.rate, 0.0) / limit.rate;
    return std::clamp(secondsOf(excess), m_options.minRetryAfter, m_options.maxRetryAfter);
}

/// A holder's lease grows only by shares that no other holder may still consider valid.
RateShare AccountHome::lease(TimePoint now, Holder &holder)
{
    if (m_isFallback) {
        return shareOf(holder.lease);
    }
    const double all = longTermRate();
    const double wanted = all > 0 ? holder.longTermRate / all : 0;
    double free = isNew(now) ? 0 : 1;
    for (const auto &[daemon, each] : m_holders) {
        free -= isNew(now) ? 0 : each.lease;
    }
    const double given = std::min(wanted, holder.lease + std::max(free, 0.0));
    const RateShare told = shareOf(given);
    holder.lease = std::max(holder.lease, given);
    holder.leaseUntil = now + m_options.leaseDuration + m_options.leaseMargin;
    return told;
}

template <typename IsWanted> double AccountHome::leasesIf(const IsWanted &isWanted) const
{
    double sum = 0;
    for (const auto &[daemon, holder] : m_holders) {
        sum += isWanted(daemon, holder) ? holder.lease : 0;
    }
    return sum;
}

double AccountHome::grantableShare(TimePoint now) const
{
    if (m_isFallback) {
        // Not all entries that use this fallback have contacted it yet.
        return std::min(std::max(reachableLeases(), m_placement.domainShare() / 2), 1.0);
    }
    const double reachable = m_placement.reachableShare(now);
    const bool isWhole = reachable >= m_options.fullReachShare;
    if (isNew(now) && !isWhole) {
        // The previous home may be partitioned and still granting tokens to other entries against
        // their leases.
        const double here = now - m_since < m_options.leaseReportTime ? 0 : reachableLeases();
        return here > 0 ? std::min(here, 1.0) : reachable;
    }
    const double gone = leasesIf([this](const DaemonId &daemon, const Holder & /*holder*/) {
        return !m_placement.isMember(daemon);
    });
    const double unresponsive = leasesIf([this, now](const DaemonId &daemon, const Holder &holder) {
        return m_placement.isMember(daemon) && isUnresponsive(now, holder);
    });
    const double mine = isWhole || gone > 0 ? 1 - gone : reachable;
    return std::max(mine - unresponsive, 0.0);
}

double AccountHome::reachableLeases() const
{
    return leasesIf([this](const DaemonId &daemon, const Holder & /*holder*/) {
        return m_placement.isMember(daemon);
    });
}

/// Whether an entry may be cut off by a partition that is not detected yet, and may admit requests
/// by its lease. grantableShare() subtracts its lease: the home would otherwise grant the full rate
/// to the entries on its own side.
bool AccountHome::isUnresponsive(TimePoint now, const Holder &holder) const
{
    const Duration expected =
        secondsOf(m_options.missedRequests / std::max(holder.longTermRate, 1e-3));
    return now - holder.lastRequestAt > std::max(expected, m_options.minUnresponsiveTime);
}

double AccountHome::totalDemandRate() const
{
    double rate = 0;
    for (const auto &[daemon, holder] : m_holders) {
        rate += holder.rate;
    }
    return rate;
}

double AccountHome::longTermRate() const
{
    double rate = 0;
    for (const auto &[daemon, holder] : m_holders) {
        rate += holder.longTermRate;
    }
    return rate;
}

double AccountHome::heldTokens() const
{
    double tokens = 0;
    for (const auto &[daemon, holder] : m_holders) {
        tokens += holder.tokens;
    }
    return tokens;
}

void AccountHome::removeExpired(TimePoint now)
{
    for (auto it = m_holders.begin(); it != m_holders.end();) {
        Holder &holder = it->second;
        if (now - holder.lastRequestAt > m_options.cachedTokenLifetime + m_options.leaseMargin) {
            holder.tokens = 0;
            holder.rate = 0;
        }
        const bool isExpired = holder.tokens == 0 && now >= holder.leaseUntil;
        it = isExpired ? m_holders.erase(it) : std::next(it);
    }
}

} // namespace ivyspar
